#pragma once

// Writes events to standard error, one line each:
//   2026-12-04T09:00:00.123Z 301 TaskPlaced host=h1 task=plan-7 worker=w3 reason="tightest fit"
//
// Example:
//   FmtEventSink sink(loop, HostId("h1"));

#include "cornelpond/core/base/Ids.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/EventSink.h"

#include <string>

namespace cornelpond {

class FmtEventSink final : public EventSink {
public:
    /// `clock` must outlive the sink.
    FmtEventSink(Clock const& clock, HostId host)
        : clock(clock)
        , host(std::move(host))
    {
    }

    void emit(Event const& event) override;

private:
    Clock const& clock;
    HostId host;
};

/// Returns the line without a line end. Values with spaces, quotes or control bytes are quoted and escaped.
std::string formatEvent(Event const& event, HostId const& host, int64_t wallMilliseconds);

} // namespace cornelpond
