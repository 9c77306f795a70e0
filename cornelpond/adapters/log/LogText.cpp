#include "cornelpond/adapters/log/LogText.h"

#include <fmt/format.h>

#include <ctime>
#include <iterator>

namespace cornelpond {

std::string formatUtcTime(int64_t wallMilliseconds)
{
    constexpr int64_t millisecondsPerSecond = 1000;
    std::time_t const seconds = wallMilliseconds / millisecondsPerSecond;
    std::tm utc {};
    gmtime_r(&seconds, &utc);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", utc.tm_year + 1900, utc.tm_mon + 1, utc.tm_mday, utc.tm_hour, utc.tm_min, utc.tm_sec, wallMilliseconds % millisecondsPerSecond);
}

void appendQuoted(std::string& line, std::string_view text, std::string_view controlPrefix)
{
    line += '"';
    for (char const byte : text) {
        auto const code = static_cast<unsigned char>(byte);
        if (byte == '"' || byte == '\\')
            (line += '\\') += byte;
        else if (code < ' ' || code == 0x7f)
            fmt::format_to(std::back_inserter(line), "{}{:02x}", controlPrefix, code);
        else
            line += byte;
    }
    line += '"';
}

} // namespace cornelpond
