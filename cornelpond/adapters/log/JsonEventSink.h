#pragma once

// Writes events to standard output, one JSON object per line, with a limited volume and without blocking:
//   {"time":"2026-12-04T09:00:00.123Z","id":301,"event":"TaskPlaced","host":"core-1","task":"7.0.0.3",...}
//
// Events about tasks are kept for a moment, and those of one stage share a line (EventGathering.h). Lines are buffered in
// memory until the pipe accepts them. Each event has limits of its own, and the frequent ones may fill only a part of the
// buffer, so that they never suppress others. What is beyond a limit is dropped and counted in an EventsSuppressed line.
//
// Example:
//   JsonEventSink sink(loop, HostId("core-1"), JsonLogLimits(), writeToStandardOutput);
//   // from the loop: sink.flush();

#include "cornelpond/adapters/log/EventGathering.h"
#include "cornelpond/core/base/Ids.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/EventSink.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace cornelpond {

struct JsonLogLimits {
    size_t maxBufferedBytes = 2 * 1024 * 1024; ///< Half of it for frequent events.
    unsigned maxLinesPerEventPerSecond = 4000;
    size_t maxBytesPerEventPerSecond = 1024 * 1024;
    GatheringLimits gathering;
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
    std::map<EventId, uint64_t> suppressedEvents() const override { return this->suppressedTotals; }

    /// Writes as much of the buffer as the pipe accepts.
    void flush();

    size_t bufferedBytes() const { return this->buffer.size(); }

private:
    struct Usage {
        int64_t second = 0;
        unsigned lines = 0;
        size_t bytes = 0;
    };

    using LimitKey = std::pair<EventId, bool>; ///< True for calls that cancel: other calls do not use up their limits.

    void appendWithinLimits(GatheredEvents const& events);
    Usage& usageOf(LimitKey key);
    void append(std::string const& line);
    void reportSuppressed();

    Clock const& clock;
    HostId host;
    JsonLogLimits limits;
    Write write;
    EventGathering gathering;
    std::string buffer;
    std::map<LimitKey, Usage> usage; ///< In the present second.
    std::map<EventId, uint64_t> suppressed; ///< Since they were last reported.
    std::map<EventId, uint64_t> suppressedTotals;
    TimePoint nextReportAt;
};

/// Returns the line without a line end.
std::string formatJsonEvent(Event const& event, HostId const& host, int64_t wallMilliseconds);

/// Appends the text as a JSON string.
void appendJsonText(std::string& line, std::string_view text);

/// Writes to standard output what its pipe accepts without blocking; returns the number of bytes written.
/// When the pipe has no reader any more, all bytes count as written.
size_t writeToStandardOutput(std::string_view bytes);

} // namespace cornelpond
