#pragma once

// Counters and latency summaries, shown at /metrics as text lines "name value".
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
    void count(std::string_view name, uint64_t by = 1);
    void setGauge(std::string_view name, int64_t value);
    void observe(std::string_view name, Duration value);

    /// Shows the histogram as it is now, in milliseconds: NAME_bucket{le="BOUND"}, NAME_sum, NAME_count.
    void setHistogram(std::string_view name, Histogram const& value);

    /// "name value" lines in order of name; latencies in microseconds as name_p50, _p99, _p999, _count.
    std::string text() const;

private:
    std::map<std::string, uint64_t, std::less<>> counters;
    std::map<std::string, int64_t, std::less<>> gauges;
    std::map<std::string, LatencySummary, std::less<>> latencies;
    std::map<std::string, Histogram, std::less<>> histograms;
};

} // namespace cornelpond
