#pragma once

// Histogram of durations with fixed bucket bounds.
//
// Example:
//   Histogram latency;
//   latency.observe(Duration::milliseconds(12));

#include "cornelpond/core/base/Duration.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cornelpond {

class Histogram {
public:
    /// Inclusive upper bounds of the buckets in milliseconds; a last bucket counts longer durations.
    static constexpr std::array<int64_t, 13> upperBoundsMs { 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000, 60000 };

    void observe(Duration span)
    {
        size_t bucket = 0;
        while (bucket < upperBoundsMs.size() && span > Duration::milliseconds(upperBoundsMs[bucket]))
            bucket++;
        this->counts[bucket]++;
        this->sum = this->sum + span;
    }

    /// Number of observations of at most `upperBoundsMs[index]`; of all of them for index upperBoundsMs.size().
    uint64_t countUpTo(size_t index) const
    {
        uint64_t total = 0;
        for (size_t bucket = 0; bucket <= index; bucket++)
            total += this->counts[bucket];
        return total;
    }

    uint64_t count() const { return this->countUpTo(upperBoundsMs.size()); }
    Duration total() const { return this->sum; }

private:
    std::array<uint64_t, upperBoundsMs.size() + 1> counts {};
    Duration sum;
};

} // namespace cornelpond
