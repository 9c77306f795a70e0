#pragma once

// Reads and writes the part of CBOR (RFC 8949) that messages between hosts use: arrays of a definite length, unsigned
// numbers and byte strings. Byte strings are copied as a whole, unlike by way of a JSON value.
//
// Example:
//   CborWriter out;
//   out.array(2);
//   out.number(7);
//   out.bytes(payload);
//   CborReader in(bytes);
//   uint64_t const fieldCount = in.array();

#include "cornelpond/core/base/ResultCode.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace cornelpond {

/// The first byte of an item: its type in the upper three bits, and below them a small value or the width of the
/// big-endian number that follows.
enum class CborType : uint8_t {
    Number = 0x00,
    Bytes = 0x40,
    Array = 0x80,
};

class CborWriter {
public:
    void reserve(size_t size) { this->encoded.reserve(size); }

    void array(uint64_t size) { this->head(CborType::Array, size); }
    void number(uint64_t value) { this->head(CborType::Number, value); }

    void bytes(std::string_view value)
    {
        this->head(CborType::Bytes, value.size());
        this->encoded.append(value);
    }

    std::string take() { return std::move(this->encoded); }

    static constexpr size_t maxHeadBytes = 9;
    static constexpr uint8_t largestInlineValue = 23;
    static constexpr uint8_t firstWidthCode = 24; ///< A number of one byte follows; the next codes double the width.
    static constexpr unsigned widthCodeCount = 4;

private:
    void head(CborType type, uint64_t value)
    {
        auto const typeBits = static_cast<unsigned>(type);
        if (value <= largestInlineValue) {
            this->encoded.push_back(static_cast<char>(typeBits | value));
            return;
        }
        unsigned widthCode = 0;
        while (widthCode + 1 < widthCodeCount && value >> (8U << widthCode))
            widthCode++;
        this->encoded.push_back(static_cast<char>(typeBits | (firstWidthCode + widthCode)));
        for (unsigned remaining = 1U << widthCode; remaining; remaining--)
            this->encoded.push_back(static_cast<char>(value >> (8 * (remaining - 1))));
    }

    std::string encoded;
};

/// Every function throws Error(MalformedJson) for an item of another type, an indefinite length, or bytes that end early.
class CborReader {
public:
    /// `bytes` must outlive the reader and the views that it returns.
    explicit CborReader(std::string_view bytes)
        : remaining(bytes)
    {
    }

    uint64_t array() { return this->head(CborType::Array); }
    uint64_t number() { return this->head(CborType::Number); }

    /// Throws too for a number above `max`.
    uint64_t number(uint64_t max)
    {
        uint64_t const value = this->number();
        if (value > max)
            fail();
        return value;
    }

    std::string_view bytes()
    {
        uint64_t const size = this->head(CborType::Bytes);
        if (size > this->remaining.size())
            fail();
        std::string_view const taken = this->remaining.substr(0, size);
        this->remaining.remove_prefix(size);
        return taken;
    }

    /// Throws Error(MalformedJson) when bytes remain.
    void expectEnd() const
    {
        if (!this->remaining.empty())
            fail();
    }

    [[noreturn]] static void fail() { throw Error(ResultCode::MalformedJson, "not a CBOR message of the expected form"); }

private:
    uint64_t head(CborType type)
    {
        constexpr unsigned valueMask = 0x1f;
        if (this->remaining.empty())
            fail();
        auto const first = static_cast<unsigned char>(this->remaining.front());
        unsigned const inlineValue = first & valueMask;
        if ((first & ~valueMask) != static_cast<unsigned>(type) || inlineValue >= CborWriter::firstWidthCode + CborWriter::widthCodeCount)
            fail();
        this->remaining.remove_prefix(1);
        if (inlineValue <= CborWriter::largestInlineValue)
            return inlineValue;
        size_t const width = size_t { 1 } << (inlineValue - CborWriter::firstWidthCode);
        if (this->remaining.size() < width)
            fail();
        uint64_t value = 0;
        for (char const byte : this->remaining.substr(0, width))
            value = value << 8 | static_cast<unsigned char>(byte);
        this->remaining.remove_prefix(width);
        return value;
    }

    std::string_view remaining;
};

} // namespace cornelpond
