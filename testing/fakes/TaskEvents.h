#pragma once

// Events about a task as control hosts emit them, for what reads or writes logs.
//
// Example:
//   sink.emit(placedEvent("fafab434d0100000.0.0.3", 7));

#include "cornelpond/core/base/Event.h"
#include "cornelpond/core/base/Ids.h"

#include <cstdint>
#include <string>

namespace cornelpond {

/// `number` varies the worker and the figures.
inline Event placedEvent(std::string const& task, int number)
{
    return Event(EventId::TaskPlaced)
        .with("task", task)
        .with("attempt", 1)
        .with("worker", WorkerId("i-0" + std::to_string(1000000 + number % 1100)))
        .with("listedMs", number % 700)
        .with("freeMilliCores", 1000 * (number % 16))
        .with("tailPercent", 0)
        .with("speedPercent", 100)
        .with("sinceAcceptedMs", number % 9000)
        .with("objectiveMs", 802)
        .with("lateness", 1);
}

inline Event startedEvent(std::string const& task, int number)
{
    return Event(EventId::RelayedStartExecuted)
        .with("leader", HostId("10.3.0.233"))
        .with("task", task)
        .with("attempt", 1)
        .with("worker", WorkerId("i-0" + std::to_string(1000000 + number % 1100)))
        .with("epoch", 4194304 + number)
        .with("processBornMs", int64_t(1796602000000) + number)
        .with("leaseUntilMs", 500000 + number)
        .with("expired", 0)
        .with("result", "accepted")
        .with("lastedMs", number % 20)
        .with("clockMs", 496500 + number);
}

inline Event endedEvent(std::string const& task, int number)
{
    return Event(EventId::AttemptEnded)
        .with("task", task)
        .with("attempt", 1)
        .with("worker", WorkerId("i-0" + std::to_string(1000000 + number % 1100)))
        .with("outcome", "done")
        .with("effect", "stageDone")
        .with("checkpoint", std::string());
}

} // namespace cornelpond
