#include "cornelpond/adapters/http/AddressText.h"

#include "cornelpond/core/base/ResultCode.h"

#include <arpa/inet.h>

#include <charconv>

namespace cornelpond {

Address addressFromText(std::string_view text)
{
    size_t const colon = text.rfind(':');
    Address address;
    if (colon != std::string_view::npos) {
        std::string_view ip = text.substr(0, colon);
        if (ip.size() > 1 && ip.front() == '[' && ip.back() == ']')
            ip = ip.substr(1, ip.size() - 2);
        address.ip = ip;
        char const* const end = text.data() + text.size();
        auto const parsed = std::from_chars(text.data() + colon + 1, end, address.port);
        in6_addr binaryIp {};
        bool const hasNul = address.ip.find('\0') != std::string::npos; // Would end the text for inet_pton().
        bool const isIpAddress = inet_pton(AF_INET, address.ip.c_str(), &binaryIp) == 1 || inet_pton(AF_INET6, address.ip.c_str(), &binaryIp) == 1;
        if (parsed.ec == std::errc() && parsed.ptr == end && isIpAddress && !hasNul)
            return address;
    }
    throw Error(ResultCode::BadArgument, "'" + std::string(text) + "' is not IP:PORT");
}

} // namespace cornelpond
