#pragma once

// Writes events to standard output, one JSON object a line, bounded in volume and never blocking:
//   {"time":"2026-12-04T09:00:00.123Z","id":301,"event":"TaskPlaced","host":"core-1","task":"7.0.0.3",...}
//
// Lines wait in memory until the pipe takes them. What a reader is too slow for, and what an event emits
// beyond its share of a second, is dropped and counted by an EventsSuppressed line.
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
    /// Takes what it can without blocking; returns the bytes taken.
    using Write = std::function<size_t(std::string_view bytes)>;

    /// `clock` must outlive the sink.
    JsonEventSink(Clock const& clock, HostId host, JsonLogLimits limits, Write write);
    ~JsonEventSink() override;
    JsonEventSink(JsonEventSink const&) = delete;
    JsonEventSink& operator=(JsonEventSink const&) = delete;

    void emit(Event const& event) override;

    /// Hands what waits to the pipe.
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

/// The line without a line end.
std::string formatJsonEvent(Event const& event, HostId const& host, int64_t wallMilliseconds);

/// Writes to standard output what its pipe takes at once.
size_t writeToStandardOutput(std::string_view bytes);

} // namespace cornelpond
