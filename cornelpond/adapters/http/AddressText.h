#pragma once

// Parses addresses written as "IP:PORT".
//
// Example:
//   Address const address = addressFromText("10.0.0.7:8080");

#include "cornelpond/adapters/http/HttpTypes.h"

#include <string_view>

namespace cornelpond {

/// An IPv6 address may be in brackets. Throws Error(BadArgument) for anything but an IP address and a port.
Address addressFromText(std::string_view text);

} // namespace cornelpond
