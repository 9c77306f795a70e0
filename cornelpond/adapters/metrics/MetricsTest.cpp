#include "cornelpond/adapters/metrics/Metrics.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

TEST_CASE("counters add up and quantiles match the observed values")
{
    Metrics metrics;
    metrics.count("requests");
    metrics.count("requests", 2);
    metrics.setGauge("open", -4);
    for (int i = 1; i <= 1000; i++)
        metrics.observe("latency", Duration::microseconds(i));
    std::string const text = metrics.text();
    CHECK(text.find("requests 3\n") != std::string::npos);
    CHECK(text.find("open -4\n") != std::string::npos);
    CHECK(text.find("latency_count 1000\n") != std::string::npos);
    LatencySummary summary;
    CHECK(summary.quantile(0.5) == Duration());
    for (int i = 1; i <= 1000; i++)
        summary.observe(Duration::microseconds(i));
    CHECK(std::abs(summary.quantile(0.5).toMicroseconds() - 500) <= 10);
    CHECK(std::abs(summary.quantile(0.99).toMicroseconds() - 990) <= 10);
}
