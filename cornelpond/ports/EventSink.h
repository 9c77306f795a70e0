#pragma once

// Receives log events. In production they are formatted to standard error; tests record them.

#include "cornelpond/core/base/Event.h"

namespace cornelpond {

class EventSink {
public:
    virtual ~EventSink() = default;
    virtual void emit(Event const& event) = 0;
};

} // namespace cornelpond
