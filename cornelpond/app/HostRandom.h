#pragma once

// Random values that differ between processes.

#include "cornelpond/ports/Random.h"

#include <string>

namespace cornelpond {

/// 64 bits from the system's source of randomness.
uint64_t systemEntropy();

/// 16 hexadecimal digits, for hostIdentity.
std::string identitySuffix(Random& random);

} // namespace cornelpond
