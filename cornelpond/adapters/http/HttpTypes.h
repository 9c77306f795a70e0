#pragma once

// HTTP requests and responses, independent of the HTTP libraries.

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpond {

struct HttpHeader {
    std::string name;
    std::string value;
};

/// Header fields in order of arrival; names compare without case.
class HttpHeaders {
public:
    void add(std::string name, std::string value) { this->fields.push_back({ std::move(name), std::move(value) }); }

    /// The first field of that name, or null.
    std::string const* find(std::string_view name) const
    {
        for (auto const& field : this->fields) {
            if (equalName(field.name, name))
                return &field.value;
        }
        return nullptr;
    }

    std::vector<HttpHeader> const& all() const { return this->fields; }

    static bool equalName(std::string_view left, std::string_view right)
    {
        auto const lower = [](char byte) { return std::tolower(static_cast<unsigned char>(byte)); };
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [&](char a, char b) { return lower(a) == lower(b); });
    }

private:
    std::vector<HttpHeader> fields;
};

struct HttpRequest {
    std::string method;
    std::string path; ///< Without the query.
    std::string query; ///< Raw text after '?'.
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

/// An IP address and port.
struct Address {
    std::string ip;
    uint16_t port = 0;

    bool operator<(Address const& other) const { return this->ip != other.ip ? this->ip < other.ip : this->port < other.port; }
    bool operator==(Address const& other) const { return this->ip == other.ip && this->port == other.port; }
    std::string text() const { return this->ip + ":" + std::to_string(this->port); }
};

} // namespace cornelpond
