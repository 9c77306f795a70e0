#include "cornelpond/app/HostRandom.h"

#include <fmt/format.h>

#include <random>

namespace cornelpond {

uint64_t systemEntropy()
{
    std::random_device device;
    constexpr unsigned half = 32;
    return (static_cast<uint64_t>(device()) << half) | device();
}

std::string identitySuffix(Random& random)
{
    return fmt::format("{:016x}", random.next());
}

} // namespace cornelpond
