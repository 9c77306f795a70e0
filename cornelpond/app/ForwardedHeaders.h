#pragma once

// Which header fields pass through the entry host: all but the hop-by-hop ones, including those that a
// Connection field names (RFC 9110, section 7.6.1).
//
// Example:
//   outgoing.headers = endToEndHeaders(request.headers);

#include "cornelpond/adapters/http/HttpTypes.h"

namespace cornelpond {

HttpHeaders endToEndHeaders(HttpHeaders const& headers);

} // namespace cornelpond
