#pragma once

// Receives log events. In production they are formatted to standard error; tests record them.

#include "cornelpond/core/base/Event.h"

#include <cstdint>
#include <map>

namespace cornelpond {

class EventSink {
public:
    virtual ~EventSink() = default;
    virtual void emit(Event const& event) = 0;
    /// Events that were dropped since the start to bound the log, by id. Empty for a sink that drops none.
    virtual std::map<EventId, uint64_t> suppressedEvents() const { return {}; }
};

} // namespace cornelpond
