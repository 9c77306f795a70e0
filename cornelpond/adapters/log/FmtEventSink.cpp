#include "cornelpond/adapters/log/FmtEventSink.h"

#include "cornelpond/adapters/log/LogText.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>

namespace cornelpond {

namespace {

    bool needsQuotes(std::string const& value)
    {
        return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char byte) { return byte <= ' ' || byte == '"' || byte == '\\' || byte == 0x7f; });
    }

    void appendValue(std::string& line, std::string const& value)
    {
        if (needsQuotes(value))
            appendQuoted(line, value, "\\x");
        else
            line += value;
    }

} // namespace

std::string formatEvent(Event const& event, HostId const& host, int64_t wallMilliseconds)
{
    std::string line = fmt::format("{} {} {} host=", formatUtcTime(wallMilliseconds), static_cast<int>(event.id()), eventInfo(event.id()).name);
    appendValue(line, host.value());
    for (auto const& field : event.fields()) {
        ((line += ' ') += field.key) += '=';
        appendValue(line, field.value);
    }
    return line;
}

void FmtEventSink::emit(Event const& event)
{
    std::string line = formatEvent(event, this->host, this->clock.wallMilliseconds());
    line += '\n';
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace cornelpond
