#pragma once

// Functions that the log formats share: the time of a line, and quoted texts.

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelpond {

/// "2026-12-04T09:00:00.123Z" for milliseconds since the Unix epoch.
std::string formatUtcTime(int64_t wallMilliseconds);

/// Appends the text in double quotes; quotes and backslashes in it get a backslash, control bytes become
/// `controlPrefix` and two hexadecimal digits.
void appendQuoted(std::string& line, std::string_view text, std::string_view controlPrefix);

} // namespace cornelpond
