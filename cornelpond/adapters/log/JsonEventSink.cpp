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

    void appendText(std::string& line, std::string_view value)
    {
        appendQuoted(line, value, "\\u00");
    }

} // namespace

std::string formatJsonEvent(Event const& event, HostId const& host, int64_t wallMilliseconds)
{
    std::string line = fmt::format("{{\"time\":\"{}\",\"id\":{},\"event\":\"{}\",\"host\":", formatUtcTime(wallMilliseconds), static_cast<int>(event.id()), eventInfo(event.id()).name);
    appendText(line, host.value());
    for (auto const& field : event.fields()) {
        line += ",\"";
        line += field.key;
        line += "\":";
        if (field.isNumber)
            line += field.value;
        else
            appendText(line, field.value);
    }
    line += '}';
    return line;
}

JsonEventSink::JsonEventSink(Clock const& clock, HostId host, JsonLogLimits limits, Write write)
    : clock(clock)
    , host(std::move(host))
    , limits(limits)
    , write(std::move(write))
{
}

JsonEventSink::~JsonEventSink()
{
    this->flush();
}

void JsonEventSink::emit(Event const& event)
{
    if (!this->isWithinBudget(event.id()) || this->buffer.size() >= this->limits.maxBufferedBytes) {
        this->suppressedLines[event.id()]++;
        return;
    }
    this->append(event);
}

bool JsonEventSink::isWithinBudget(EventId id)
{
    constexpr int64_t microsecondsPerSecond = 1000 * 1000;
    int64_t const second = this->clock.now().toMicroseconds() / microsecondsPerSecond;
    LineBudget& budget = this->lineBudgets[id];
    if (budget.second != second)
        budget = { second, 0 };
    return budget.lines++ < this->limits.maxLinesPerEventPerSecond;
}

void JsonEventSink::append(Event const& event)
{
    this->buffer += formatJsonEvent(event, this->host, this->clock.wallMilliseconds());
    this->buffer += '\n';
}

void JsonEventSink::reportSuppressed()
{
    if (this->suppressedLines.empty() || this->clock.now() < this->nextReportAt || this->buffer.size() >= this->limits.maxBufferedBytes)
        return;
    this->nextReportAt = this->clock.now() + reportInterval;
    for (auto const& [id, count] : this->suppressedLines)
        this->append(Event(EventId::EventsSuppressed).with("suppressed", std::string(eventInfo(id).name)).with("lines", count));
    this->suppressedLines.clear();
}

void JsonEventSink::flush()
{
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
