#include "testing/soak/ProcessWatch.h"

#include <fmt/format.h>

#include <fstream>

namespace cornelpond {

namespace {

    constexpr uint64_t nsPerMs = 1000000;
    constexpr uint64_t minWaitMs = 50;

    /// "S" sleeps, "R" is running or runnable, "D" waits for a device, "T" is stopped.
    std::string stateOf(std::string const& folder)
    {
        std::ifstream file(folder + "/stat");
        std::string const line { std::istreambuf_iterator<char>(file), {} };
        size_t const name = line.rfind(") ");
        return name == std::string::npos ? "" : line.substr(name + 2, 1);
    }

    uint64_t waitNsOf(std::string const& folder)
    {
        uint64_t ranNs = 0;
        uint64_t waitedNs = 0;
        std::ifstream(folder + "/schedstat") >> ranNs >> waitedNs;
        return waitedNs;
    }

} // namespace

std::string ProcessWatch::sample()
{
    std::string const folder = "/proc/" + std::to_string(this->watchedPid);
    std::string const state = stateOf(folder);
    uint64_t const waitNs = waitNsOf(folder);
    uint64_t const waitedMs = this->lastWaitNs && waitNs > this->lastWaitNs ? (waitNs - this->lastWaitNs) / nsPerMs : 0;
    this->lastWaitNs = waitNs;
    bool const waits = state == "D" || waitedMs >= minWaitMs;
    this->heldUpSamples = waits ? this->heldUpSamples + 1 : 0;
    return waits || state == "T" ? fmt::format("state {}, waited {} ms for a processor", state, waitedMs) : "";
}

} // namespace cornelpond
