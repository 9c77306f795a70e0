#include "cornelpond/core/base/Json.h"

#include "cornelpond/core/base/ResultCode.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
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

    /// Builds a value from a parser's events and ends the parser where the value nests too deep. json::from_cbor() has no
    /// such limit, though its parser calls itself for every level.
    class BoundedBuilder final : public nlohmann::json_sax<nlohmann::json> {
    public:
        bool null() override { return this->add(nullptr); }
        bool boolean(bool value) override { return this->add(value); }
        bool number_integer(number_integer_t value) override { return this->add(value); }
        bool number_unsigned(number_unsigned_t value) override { return this->add(value); }
        bool number_float(number_float_t value, string_t const&) override { return this->add(value); }
        bool string(string_t& value) override { return this->add(std::move(value)); }
        bool binary(binary_t& value) override { return this->add(nlohmann::json::binary(std::move(value))); }
        bool start_object(size_t) override { return this->open(nlohmann::json::object()); }
        bool end_object() override { return this->close(); }
        bool start_array(size_t) override { return this->open(nlohmann::json::array()); }
        bool end_array() override { return this->close(); }

        bool key(string_t& value) override
        {
            this->currentKey = std::move(value);
            return true;
        }

        bool parse_error(size_t, std::string const&, nlohmann::json::exception const& error) override
        {
            throw Error(ResultCode::MalformedJson, std::string("not CBOR: ") + error.what());
        }

        nlohmann::json take() { return std::move(this->root); }

    private:
        nlohmann::json& insert(nlohmann::json value)
        {
            if (this->openContainers.empty())
                return this->root = std::move(value);
            nlohmann::json& container = *this->openContainers.back();
            return container.is_array() ? container.emplace_back(std::move(value)) : container[this->currentKey] = std::move(value);
        }

        bool add(nlohmann::json value)
        {
            this->insert(std::move(value));
            return true;
        }

        bool open(nlohmann::json container)
        {
            if (this->openContainers.size() >= JsonLimits().maxDepth)
                throw Error(ResultCode::MalformedJson, "the CBOR nests too deep");
            this->openContainers.push_back(&this->insert(std::move(container)));
            return true;
        }

        bool close()
        {
            this->openContainers.pop_back();
            return true;
        }

        nlohmann::json root;
        std::vector<nlohmann::json*> openContainers; ///< From the outermost; each is the last value in the one before.
        std::string currentKey;
    };

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

uint64_t wholeNumber(nlohmann::json const& value, uint64_t max)
{
    constexpr double exactBelow = 9007199254740992; // 2^53
    uint64_t number = 0;
    bool isWhole = false;
    if (value.is_number_float()) {
        auto const given = value.get<double>();
        isWhole = given >= 0 && given < exactBelow && std::floor(given) == given;
        number = isWhole ? static_cast<uint64_t>(given) : 0;
    } else if (value.is_number_integer()) {
        isWhole = value.is_number_unsigned() || value.get<int64_t>() >= 0;
        number = value.get<uint64_t>();
    }
    if (!isWhole || number > max)
        throw Error(ResultCode::MalformedJson, "not a whole number from 0 to " + std::to_string(max));
    return number;
}

std::string toCbor(nlohmann::json const& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

nlohmann::json fromCbor(std::string_view bytes)
{
    BoundedBuilder builder;
    nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &builder, nlohmann::json::input_format_t::cbor);
    return builder.take();
}

} // namespace cornelpond
