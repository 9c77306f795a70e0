#pragma once

// Randomness that differs between two processes.

#include "cornelpond/ports/Random.h"

#include <string>

namespace cornelpond {

/// 64 bits from the system's source of randomness.
uint64_t systemEntropy();

/// 16 hexadecimal digits.
std::string identitySuffix(Random& random);

} // namespace cornelpond
