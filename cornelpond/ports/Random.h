#pragma once

// Injected source of random numbers, so that the same seed reproduces the same decisions.

#include <cstdint>

namespace cornelpond {

class Random {
public:
    virtual ~Random() = default;

    /// 64 uniformly distributed bits.
    virtual uint64_t next() = 0;

    /// A number in [0, bound); `bound` must be positive. The modulo bias is below bound / 2^64.
    uint64_t below(uint64_t bound) { return this->next() % bound; }

    /// A uniformly distributed number in [0, 1).
    double nextDouble() { return static_cast<double>(this->next() >> 11) * 0x1.0p-53; }
};

/// A deterministic generator (SplitMix64).
class SeededRandom final : public Random {
public:
    explicit SeededRandom(uint64_t seed)
        : state(seed)
    {
    }

    uint64_t next() override
    {
        this->state += 0x9e3779b97f4a7c15ULL;
        uint64_t mixed = this->state;
        mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31);
    }

private:
    uint64_t state;
};

} // namespace cornelpond
