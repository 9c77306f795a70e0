#pragma once

// Checked JSON input: turns untrusted bytes into a value or an Error with a result code.
//
// Example:
//   nlohmann::json const body = parseJson(request.body, JsonLimits());

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelpond {

struct JsonLimits {
    size_t maxBytes = 1024 * 1024;
    size_t maxDepth = 32;
};

/// Throws Error(BodyTooLarge), Error(InvalidUtf8), Error(JsonTooDeep) or Error(MalformedJson).
nlohmann::json parseJson(std::string_view text, JsonLimits const& limits);

/// Encodes the value as CBOR.
std::string toCbor(nlohmann::json const& value);

/// Throws Error(MalformedJson) when the bytes are not exactly one complete CBOR value, or it nests deeper than
/// JsonLimits::maxDepth.
nlohmann::json fromCbor(std::string_view bytes);

/// The value of a whole number from 0 to `max`; a floating-point value counts when it has no fraction and is exact.
/// Throws Error(MalformedJson) for every other value. json::get() converts numbers without a check of their range.
uint64_t wholeNumber(nlohmann::json const& value, uint64_t max = UINT64_MAX);

/// True for well-formed UTF-8 without overlong forms or surrogates.
bool isValidUtf8(std::string_view text);

} // namespace cornelpond
