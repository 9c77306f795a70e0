#pragma once

// Amounts of processor, memory and accelerators, such as the capacity of a worker or the request of a task.
//
// Example:
//   Resources free = capacity - reserved;
//   if (need.fitsIn(free))
//       reserve(need);

#include <cstdint>

namespace cornelpond {

struct Resources {
    int64_t milliCores = 0;
    int64_t memoryMiB = 0;
    int64_t accelerators = 0;

    /// True when every amount is at most that of `other`.
    constexpr bool fitsIn(Resources const& other) const
    {
        return this->milliCores <= other.milliCores && this->memoryMiB <= other.memoryMiB && this->accelerators <= other.accelerators;
    }

    constexpr bool isNonNegative() const { return this->milliCores >= 0 && this->memoryMiB >= 0 && this->accelerators >= 0; }

    constexpr Resources& operator+=(Resources const& other)
    {
        this->milliCores += other.milliCores;
        this->memoryMiB += other.memoryMiB;
        this->accelerators += other.accelerators;
        return *this;
    }

    constexpr Resources& operator-=(Resources const& other)
    {
        this->milliCores -= other.milliCores;
        this->memoryMiB -= other.memoryMiB;
        this->accelerators -= other.accelerators;
        return *this;
    }

    constexpr Resources operator+(Resources const& other) const { return Resources(*this) += other; }
    constexpr Resources operator-(Resources const& other) const { return Resources(*this) -= other; }

    constexpr bool operator==(Resources const& other) const
    {
        return this->milliCores == other.milliCores && this->memoryMiB == other.memoryMiB && this->accelerators == other.accelerators;
    }
};

} // namespace cornelpond
