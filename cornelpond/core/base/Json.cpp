#include "cornelpond/core/base/Json.h"

#include "cornelpond/core/base/ResultCode.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace cornelpond {

namespace {

    /// Nesting depth outside strings. It is counted before parsing, so that hostile input cannot cause deep recursion.
    size_t nestingDepth(std::string_view text)
    {
        size_t depth = 0;
        size_t deepest = 0;
        bool isInString = false;
        for (size_t i = 0; i < text.size(); i++) {
            char const byte = text[i];
            if (isInString && byte == '\\')
                i++;
            else if (byte == '"')
                isInString = !isInString;
            else if (!isInString && (byte == '[' || byte == '{'))
                deepest = std::max(deepest, ++depth);
            else if (!isInString && (byte == ']' || byte == '}') && depth)
                depth--;
        }
        return deepest;
    }

    /// Length of the well-formed sequence at `text[0]`, or 0.
    size_t utf8SequenceLength(std::string_view text)
    {
        auto const at = [&](size_t i) { return i < text.size() ? static_cast<unsigned char>(text[i]) : 0U; };
        auto const isContinuation = [&](size_t i) { return (at(i) & 0xC0U) == 0x80U; };
        unsigned const first = at(0);
        if (first < 0x80)
            return 1;
        if (first >= 0xC2 && first <= 0xDF)
            return isContinuation(1) ? 2 : 0;
        if (first >= 0xE0 && first <= 0xEF) {
            bool const isOverlong = first == 0xE0 && at(1) < 0xA0;
            bool const isSurrogate = first == 0xED && at(1) > 0x9F;
            return isContinuation(1) && isContinuation(2) && !isOverlong && !isSurrogate ? 3 : 0;
        }
        if (first >= 0xF0 && first <= 0xF4) {
            bool const isOverlong = first == 0xF0 && at(1) < 0x90;
            bool const isTooLarge = first == 0xF4 && at(1) > 0x8F;
            return isContinuation(1) && isContinuation(2) && isContinuation(3) && !isOverlong && !isTooLarge ? 4 : 0;
        }
        return 0;
    }

} // namespace

bool isValidUtf8(std::string_view text)
{
    while (!text.empty()) {
        size_t const length = utf8SequenceLength(text);
        if (!length)
            return false;
        text.remove_prefix(length);
    }
    return true;
}

nlohmann::json parseJson(std::string_view text, JsonLimits const& limits)
{
    if (text.size() > limits.maxBytes)
        throw Error(ResultCode::BodyTooLarge, "the JSON text exceeds " + std::to_string(limits.maxBytes) + " bytes");
    if (!isValidUtf8(text))
        throw Error(ResultCode::InvalidUtf8, "the JSON text is not valid UTF-8");
    if (nestingDepth(text) > limits.maxDepth)
        throw Error(ResultCode::JsonTooDeep, "the JSON nests deeper than " + std::to_string(limits.maxDepth) + " levels");
    try {
        return nlohmann::json::parse(text);
    } catch (nlohmann::json::parse_error const& error) {
        throw Error(ResultCode::MalformedJson, "malformed JSON at byte " + std::to_string(error.byte));
    } catch (nlohmann::json::exception const& error) {
        throw Error(ResultCode::MalformedJson, std::string("malformed JSON: ") + error.what()); // Such as a number beyond a double's range.
    }
}

std::string toCbor(nlohmann::json const& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

nlohmann::json fromCbor(std::string_view bytes)
{
    try {
        return nlohmann::json::from_cbor(bytes.begin(), bytes.end());
    } catch (nlohmann::json::exception const& error) {
        throw Error(ResultCode::MalformedJson, std::string("not CBOR: ") + error.what());
    }
}

} // namespace cornelpond
