#pragma once

// Reads the fields of recorded events.
//
// Example:
//   CHECK(valueOf(event, "state") == "cancelled");
//   CHECK(numberOf(event, "lastedMs") <= 1000);

#include "cornelpond/core/base/Event.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace cornelpond {

/// Empty when the event has no such field.
inline std::string valueOf(Event const& event, std::string_view key)
{
    auto const& fields = event.fields();
    auto const found = std::find_if(fields.begin(), fields.end(), [&](EventField const& field) { return field.key == key; });
    return found == fields.end() ? std::string() : found->value;
}

/// Throws std::invalid_argument when the event has no such field, or no number in it.
inline int64_t numberOf(Event const& event, std::string_view key)
{
    return std::stoll(valueOf(event, key));
}

} // namespace cornelpond
