#pragma once

// Observes how the system schedules a process, to tell a process that is slow from one that the system holds up. Linux
// only; reads /proc.
//
// Example:
//   ProcessWatch watch(pid);
//   std::string const text = watch.sample(); // every 100 ms

#include <cstdint>
#include <string>

namespace cornelpond {

class ProcessWatch {
public:
    explicit ProcessWatch(int pid)
        : watchedPid(pid)
    {
    }

    int pid() const { return this->watchedPid; }

    /// The state of its main thread and the time that this has waited for a processor since the last sample, in
    /// milliseconds. Empty if it sleeps or runs and hardly waits.
    std::string sample();

    /// True if it has waited for a device or a processor in each of the last samples, five at least.
    bool isHeldUp() const { return this->heldUpSamples >= minHeldUpSamples; }

private:
    static constexpr int minHeldUpSamples = 5;

    int watchedPid;
    uint64_t lastWaitNs = 0;
    int heldUpSamples = 0; ///< Without interruption.
};

} // namespace cornelpond
