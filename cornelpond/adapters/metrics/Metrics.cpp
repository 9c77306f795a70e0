#include "cornelpond/adapters/metrics/Metrics.h"

#include <sstream> // Needed by the accumulators below, which do not include it.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>

namespace cornelpond {

namespace {

    namespace stats = boost::accumulators;

    constexpr std::array trackedQuantiles = { 0.5, 0.99, 0.999 };

    using Accumulator = stats::accumulator_set<double, stats::stats<stats::tag::count, stats::tag::extended_p_square_quantile>>;

    template <typename Value>
    Value& findOrAdd(std::map<std::string, Value, std::less<>>& values, std::string_view name)
    {
        auto const found = values.find(name);
        return found != values.end() ? found->second : values[std::string(name)];
    }

} // namespace

struct LatencySummary::State {
    Accumulator accumulator { stats::extended_p_square_probabilities = trackedQuantiles };
};

LatencySummary::LatencySummary()
    : state(std::make_unique<State>())
{
}

LatencySummary::~LatencySummary() = default;

void LatencySummary::observe(Duration value)
{
    this->state->accumulator(static_cast<double>(value.toMicroseconds()));
}

uint64_t LatencySummary::count() const
{
    return stats::count(this->state->accumulator);
}

Duration LatencySummary::quantile(double p) const
{
    if (!this->count())
        return Duration();
    return Duration::microseconds(static_cast<int64_t>(stats::quantile(this->state->accumulator, stats::quantile_probability = p)));
}

void Metrics::count(std::string_view name, uint64_t increment)
{
    findOrAdd(this->counters, name) += increment;
}

void Metrics::setGauge(std::string_view name, int64_t value)
{
    findOrAdd(this->gauges, name) = value;
}

void Metrics::observe(std::string_view name, Duration value)
{
    findOrAdd(this->latencies, name).observe(value);
}

void Metrics::setHistogram(std::string_view name, Histogram const& value)
{
    this->histograms.insert_or_assign(std::string(name), value);
}

std::string Metrics::text() const
{
    std::string out;
    auto const line = [&](std::string const& name, auto value) { out += name + " " + std::to_string(value) + "\n"; };
    for (auto const& [name, value] : this->counters)
        line(name, value);
    for (auto const& [name, value] : this->gauges)
        line(name, value);
    for (auto const& [name, summary] : this->latencies) {
        line(name + "_count", summary.count());
        line(name + "_p50_us", summary.quantile(0.5).toMicroseconds());
        line(name + "_p99_us", summary.quantile(0.99).toMicroseconds());
        line(name + "_p999_us", summary.quantile(0.999).toMicroseconds());
    }
    for (auto const& [name, histogram] : this->histograms) {
        for (size_t index = 0; index < Histogram::upperBoundsMs.size(); index++)
            out += name + "_bucket{le=\"" + std::to_string(Histogram::upperBoundsMs[index]) + "\"} " + std::to_string(histogram.countUpTo(index)) + "\n";
        out += name + "_bucket{le=\"+Inf\"} " + std::to_string(histogram.count()) + "\n";
        out += name + "_sum " + std::to_string(histogram.total().toMilliseconds()) + "\n";
        out += name + "_count " + std::to_string(histogram.count()) + "\n";
    }
    return out;
}

} // namespace cornelpond
