#pragma once

// Writes events to standard output, one JSON object per line, with a limited volume and without blocking:
//   {"time":"2026-12-04T09:00:00.123Z","id":301,"event":"TaskPlaced","host":"core-1","task":"7.0.0.3",...}
//
// Lines are buffered in memory until the pipe accepts them. Lines that come while the buffer is full, and
// lines of one event beyond its limit per second, are dropped and counted in an EventsSuppressed line.
//
// Example:
//   JsonEventSink sink(loop, HostId("core-1"), JsonLogLimits(), writeToStandardOutput);
//   // from the loop: sink.flush();

#include "cornelpond/core/base/Ids.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/EventSink.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace cornelpond {

struct JsonLogLimits {
    size_t maxBufferedBytes = 256 * 1024;
    unsigned maxLinesPerEventPerSecond = 400;
};

class JsonEventSink final : public EventSink {
public:
    /// Writes what it can without blocking; returns the number of bytes written.
    using Write = std::function<size_t(std::string_view bytes)>;

    /// `clock` must outlive the sink.
    JsonEventSink(Clock const& clock, HostId host, JsonLogLimits limits, Write write);
    ~JsonEventSink() override;
    JsonEventSink(JsonEventSink const&) = delete;
    JsonEventSink& operator=(JsonEventSink const&) = delete;

    void emit(Event const& event) override;

    /// Writes as much of the buffer as the pipe accepts.
    void flush();

    size_t bufferedBytes() const { return this->buffer.size(); }

private:
    struct LineBudget {
        int64_t second = 0;
        unsigned lines = 0;
    };

    bool isWithinBudget(EventId id);
    void append(Event const& event);
    void reportSuppressed();

    Clock const& clock;
    HostId host;
    JsonLogLimits limits;
    Write write;
    std::string buffer;
    std::map<EventId, LineBudget> lineBudgets;
    std::map<EventId, uint64_t> suppressedLines;
    TimePoint nextReportAt;
};

/// Returns the line without a line end.
std::string formatJsonEvent(Event const& event, HostId const& host, int64_t wallMilliseconds);

/// Writes to standard output what its pipe accepts without blocking; returns the number of bytes written.
/// When the pipe has no reader any more, all bytes count as written.
size_t writeToStandardOutput(std::string_view bytes);

} // namespace cornelpond
