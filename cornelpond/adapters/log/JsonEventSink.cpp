#include "cornelpond/adapters/log/JsonEventSink.h"

#include "cornelpond/adapters/log/LogText.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace cornelpond {

namespace {

    constexpr Duration reportInterval = Duration::seconds(1);

    bool isCancelCall(Event const& event)
    {
        auto const& fields = event.fields();
        return std::any_of(fields.begin(), fields.end(), [](EventField const& field) { return field.key == "method" && field.value == "DELETE"; });
    }

    /// Events whose number follows the starts and calls of the fleet.
    bool isFrequent(EventId id)
    {
        switch (id) {
        case EventId::CallForwarded:
        case EventId::CallRefused:
        case EventId::TaskPlaced:
        case EventId::AttemptEnded:
        case EventId::RelayedStartExecuted:
        case EventId::JobSteps:
        case EventId::JobBegan:
            return true;
        default:
            return false;
        }
    }

} // namespace

void appendJsonText(std::string& line, std::string_view text)
{
    appendQuoted(line, text, "\\u00");
}

std::string formatJsonEvent(Event const& event, HostId const& host, int64_t wallMilliseconds)
{
    std::string line = fmt::format("{{\"time\":\"{}\",\"id\":{},\"event\":\"{}\",\"host\":", formatUtcTime(wallMilliseconds), static_cast<int>(event.id()), eventInfo(event.id()).name);
    appendJsonText(line, host.value());
    for (auto const& field : event.fields()) {
        line += ",\"";
        line += field.key;
        line += "\":";
        if (field.isNumber)
            line += field.value;
        else
            appendJsonText(line, field.value);
    }
    line += '}';
    return line;
}

JsonEventSink::JsonEventSink(Clock const& clock, HostId host, JsonLogLimits limits, Write write)
    : clock(clock)
    , host(std::move(host))
    , limits(limits)
    , write(std::move(write))
    , gathering(limits.gathering, [this](GatheredEvents const& events) { this->appendWithinLimits(events); })
{
}

JsonEventSink::~JsonEventSink()
{
    this->gathering.releaseAll();
    this->flush();
}

void JsonEventSink::emit(Event const& event)
{
    int64_t const wallMs = this->clock.wallMilliseconds();
    if (!this->gathering.add(event, this->clock.now(), wallMs))
        this->appendWithinLimits({ { event, wallMs } });
}

/// Appends one line, or counts its events as suppressed.
void JsonEventSink::appendWithinLimits(GatheredEvents const& events)
{
    EventId const id = events.front().event.id();
    bool const isCancel = isCancelCall(events.front().event);
    Usage& used = this->usageOf({ id, isCancel });
    size_t const maxBufferedBytes = isFrequent(id) && !isCancel ? this->limits.maxBufferedBytes / 2 : this->limits.maxBufferedBytes;
    if (this->buffer.size() >= maxBufferedBytes || used.lines >= this->limits.maxLinesPerEventPerSecond || used.bytes >= this->limits.maxBytesPerEventPerSecond) {
        this->suppressed[id] += events.size();
        this->suppressedTotals[id] += events.size();
        return;
    }
    size_t const before = this->buffer.size();
    this->append(formatGatheredEvents(events, this->host));
    used.lines++;
    used.bytes += this->buffer.size() - before;
}

JsonEventSink::Usage& JsonEventSink::usageOf(LimitKey key)
{
    constexpr int64_t microsecondsPerSecond = 1000 * 1000;
    int64_t const second = this->clock.now().toMicroseconds() / microsecondsPerSecond;
    Usage& used = this->usage[key];
    if (used.second != second)
        used = { second, 0, 0 };
    return used;
}

void JsonEventSink::append(std::string const& line)
{
    this->buffer += line;
    this->buffer += '\n';
}

void JsonEventSink::reportSuppressed()
{
    if (this->suppressed.empty() || this->clock.now() < this->nextReportAt || this->buffer.size() >= this->limits.maxBufferedBytes)
        return;
    this->nextReportAt = this->clock.now() + reportInterval;
    for (auto const& [id, count] : this->suppressed)
        this->append(formatJsonEvent(Event(EventId::EventsSuppressed).with("suppressed", std::string(eventInfo(id).name)).with("lines", count), this->host, this->clock.wallMilliseconds()));
    this->suppressed.clear();
}

void JsonEventSink::flush()
{
    this->gathering.release(this->clock.now());
    this->reportSuppressed();
    if (!this->buffer.empty())
        this->buffer.erase(0, this->write(this->buffer));
}

size_t writeToStandardOutput(std::string_view bytes)
{
    size_t writtenBytes = 0;
    while (writtenBytes < bytes.size()) {
        pollfd ready { STDOUT_FILENO, POLLOUT, 0 };
        if (::poll(&ready, 1, 0) != 1 || !(ready.revents & POLLOUT))
            break;
        // A pipe that is writable accepts this many bytes without blocking.
        size_t const count = std::min(bytes.size() - writtenBytes, static_cast<size_t>(PIPE_BUF));
        ssize_t const written = ::write(STDOUT_FILENO, bytes.data() + writtenBytes, count);
        if (written <= 0)
            return errno == EPIPE ? bytes.size() : writtenBytes; // The pipe has no reader any more: the rest is discarded.
        writtenBytes += static_cast<size_t>(written);
    }
    return writtenBytes;
}

} // namespace cornelpond
