#pragma once

// Compact binary encoding of fields: unsigned numbers as base-128 varints, least significant group first,
// and texts prefixed with their length.
//
// Example:
//   ByteWriter out;
//   out.number(7);
//   out.text("h1");
//   ByteReader in(bytes);
//   uint64_t const number = in.number();

#include "cornelpond/core/base/ResultCode.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace cornelpond {

class ByteWriter {
public:
    void number(uint64_t value)
    {
        while (value >= continuationBit) {
            this->bytes.push_back(static_cast<char>((value & payloadMask) | continuationBit));
            value >>= payloadBits;
        }
        this->bytes.push_back(static_cast<char>(value));
    }

    void text(std::string_view value)
    {
        this->number(value.size());
        this->bytes.append(value);
    }

    std::string take() { return std::move(this->bytes); }

    static constexpr uint64_t continuationBit = 0x80;
    static constexpr uint64_t payloadMask = 0x7f;
    static constexpr unsigned payloadBits = 7;

private:
    std::string bytes;
};

/// Every function throws Error(MalformedMessage) when the bytes end early.
class ByteReader {
public:
    /// `bytes` must outlive the reader.
    explicit ByteReader(std::string_view bytes)
        : remaining(bytes)
    {
    }

    uint64_t number()
    {
        uint64_t value = 0;
        for (unsigned shift = 0; shift < 64; shift += ByteWriter::payloadBits) {
            if (this->remaining.empty())
                this->fail();
            auto const byte = static_cast<unsigned char>(this->remaining.front());
            this->remaining.remove_prefix(1);
            value |= (byte & ByteWriter::payloadMask) << shift;
            if (!(byte & ByteWriter::continuationBit))
                return value;
        }
        this->fail();
    }

    std::string_view text()
    {
        uint64_t const length = this->number();
        if (length > this->remaining.size())
            this->fail();
        std::string_view const taken = this->remaining.substr(0, length);
        this->remaining.remove_prefix(length);
        return taken;
    }

    bool isAtEnd() const { return this->remaining.empty(); }

    /// Throws Error(MalformedMessage) when bytes remain.
    void expectEnd() const
    {
        if (!this->remaining.empty())
            this->fail();
    }

    [[noreturn]] void fail() const { throw Error(ResultCode::MalformedMessage, "malformed message or record"); }

private:
    std::string_view remaining;
};

} // namespace cornelpond
