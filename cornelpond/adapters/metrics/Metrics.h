#pragma once

// Counters, gauges, latency summaries and histograms, shown at /metrics as text lines "name value".
//
// Example:
//   metrics.count("requestsAnswered");
//   metrics.observe("requestLatency", elapsed);
//
// Loop thread only.

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Histogram.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cornelpond {

/// Streaming quantiles of one latency; constant memory.
class LatencySummary {
public:
    LatencySummary();
    ~LatencySummary();

    void observe(Duration value);
    uint64_t count() const;

    /// Estimates for p in {0.5, 0.99, 0.999}; zero before the first value.
    Duration quantile(double p) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

class Metrics {
public:
    void count(std::string_view name, uint64_t increment = 1);
    void setGauge(std::string_view name, int64_t value);
    void observe(std::string_view name, Duration value);

    /// Shows a copy of the histogram as NAME_bucket{le="BOUND"}, NAME_sum and NAME_count; BOUND and the sum are
    /// in milliseconds.
    void setHistogram(std::string_view name, Histogram const& value);

    /// "name value" lines: counters, gauges, latencies, histograms, each in order of name. A latency is shown as
    /// NAME_count and, in microseconds, NAME_p50_us, NAME_p99_us and NAME_p999_us.
    std::string text() const;

private:
    std::map<std::string, uint64_t, std::less<>> counters;
    std::map<std::string, int64_t, std::less<>> gauges;
    std::map<std::string, LatencySummary, std::less<>> latencies;
    std::map<std::string, Histogram, std::less<>> histograms;
};

} // namespace cornelpond
