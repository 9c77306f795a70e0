#pragma once

// Strong types for durations and for points on the injected monotonic clock.
//
// Example:
//   TimePoint const deadline = clock.now() + Duration::seconds(3);
//   if (clock.now() >= deadline)
//       expire();
//
// Both are plain values; all functions may be called from any thread.

#include <cstdint>
#include <limits>

namespace cornelpond {

/// A signed duration in whole microseconds.
class Duration {
public:
    constexpr Duration() = default;

    static constexpr Duration microseconds(int64_t count) { return Duration(count); }
    static constexpr Duration milliseconds(int64_t count) { return Duration(count * 1000); }
    static constexpr Duration seconds(int64_t count) { return Duration(count * 1000 * 1000); }
    static constexpr Duration minutes(int64_t count) { return Duration::seconds(count * 60); }
    static constexpr Duration infinite() { return Duration(std::numeric_limits<int64_t>::max() / 4); }

    constexpr int64_t toMicroseconds() const { return this->us; }
    constexpr int64_t toMilliseconds() const { return this->us / 1000; }
    constexpr double toSeconds() const { return static_cast<double>(this->us) / 1e6; }

    constexpr Duration operator+(Duration other) const { return Duration(this->us + other.us); }
    constexpr Duration operator-(Duration other) const { return Duration(this->us - other.us); }
    constexpr Duration operator*(int64_t factor) const { return Duration(this->us * factor); }
    constexpr Duration operator/(int64_t divisor) const { return Duration(this->us / divisor); }
    constexpr Duration scaled(double factor) const { return Duration(static_cast<int64_t>(static_cast<double>(this->us) * factor)); }
    constexpr bool operator==(Duration other) const { return this->us == other.us; }
    constexpr bool operator!=(Duration other) const { return this->us != other.us; }
    constexpr bool operator<(Duration other) const { return this->us < other.us; }
    constexpr bool operator<=(Duration other) const { return this->us <= other.us; }
    constexpr bool operator>(Duration other) const { return this->us > other.us; }
    constexpr bool operator>=(Duration other) const { return this->us >= other.us; }

private:
    explicit constexpr Duration(int64_t microseconds)
        : us(microseconds)
    {
    }

    int64_t us = 0;
};

/// A point on the process's monotonic clock. Points of different processes are not comparable.
class TimePoint {
public:
    constexpr TimePoint() = default;

    static constexpr TimePoint fromMicroseconds(int64_t count) { return TimePoint(count); }
    static constexpr TimePoint distantPast() { return TimePoint(std::numeric_limits<int64_t>::min() / 2); }
    static constexpr TimePoint infiniteFuture() { return TimePoint(std::numeric_limits<int64_t>::max() / 2); }

    constexpr int64_t toMicroseconds() const { return this->us; }

    constexpr TimePoint operator+(Duration span) const { return TimePoint(this->us + span.toMicroseconds()); }
    constexpr TimePoint operator-(Duration span) const { return TimePoint(this->us - span.toMicroseconds()); }
    constexpr Duration operator-(TimePoint other) const { return Duration::microseconds(this->us - other.us); }
    constexpr bool operator==(TimePoint other) const { return this->us == other.us; }
    constexpr bool operator!=(TimePoint other) const { return this->us != other.us; }
    constexpr bool operator<(TimePoint other) const { return this->us < other.us; }
    constexpr bool operator<=(TimePoint other) const { return this->us <= other.us; }
    constexpr bool operator>(TimePoint other) const { return this->us > other.us; }
    constexpr bool operator>=(TimePoint other) const { return this->us >= other.us; }

private:
    explicit constexpr TimePoint(int64_t microseconds)
        : us(microseconds)
    {
    }

    int64_t us = 0;
};

} // namespace cornelpond
