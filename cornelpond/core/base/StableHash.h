#pragma once

// A hash that is the same on every host and in every version, for choices on which all hosts must agree.
// An attacker can construct collisions, so it is not for hash tables with untrusted keys.
//
// Example:
//   size_t const index = stableHash(key) % hosts.size();

#include <cstdint>
#include <string_view>

namespace cornelpond {

/// FNV-1a with 64 bits, finished by SplitMix64's mixer so that all bits depend on all bytes.
constexpr uint64_t stableHash(std::string_view text, uint64_t seed = 0)
{
    uint64_t hash = 0xcbf29ce484222325ULL ^ seed;
    for (char const byte : text) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= 0x100000001b3ULL;
    }
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31);
}

} // namespace cornelpond
