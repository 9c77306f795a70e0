#include "cornelpond/core/routing/ShareMessages.h"

#include "cornelpond/core/base/Json.h"
#include "cornelpond/core/base/ResultCode.h"
#include "cornelpond/core/base/StableHash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cornelpond {

namespace {

    enum class MessageTag : uint8_t {
        Request = 1,
        Grant = 2,
    };

    nlohmann::json encode(ShareRequest const& request)
    {
        nlohmann::json servers = nlohmann::json::array();
        for (auto const& report : request.servers)
            servers.push_back(nlohmann::json::array({ report.server.value(), report.slots, report.held, report.wanted }));
        return nlohmann::json::array(
            { static_cast<uint8_t>(MessageTag::Request), request.incarnation, request.number, request.seenTerm.value(), request.seenGrant, std::move(servers) });
    }

    nlohmann::json encode(ShareGrant const& grant)
    {
        nlohmann::json servers = nlohmann::json::array();
        for (auto const& share : grant.servers)
            servers.push_back(nlohmann::json::array({ share.server.value(), share.slots }));
        return nlohmann::json::array({ static_cast<uint8_t>(MessageTag::Grant), grant.term.value(), grant.number, grant.incarnation, grant.request,
            grant.lease.toMicroseconds(), std::move(servers) });
    }

    ShareRequest decodeRequest(nlohmann::json const& fields)
    {
        ShareRequest request { fields.at(1).get<uint64_t>(), fields.at(2).get<uint64_t>(), Term(fields.at(3).get<uint64_t>()), fields.at(4).get<uint64_t>(), {} };
        for (auto const& row : fields.at(5))
            request.servers.push_back({ BackendServerId(row.at(0).get<std::string>()), row.at(1).get<uint32_t>(), row.at(2).get<uint32_t>(), row.at(3).get<uint32_t>() });
        return request;
    }

    ShareGrant decodeGrant(nlohmann::json const& fields)
    {
        ShareGrant grant;
        grant.term = Term(fields.at(1).get<uint64_t>());
        grant.number = fields.at(2).get<uint64_t>();
        grant.incarnation = fields.at(3).get<uint64_t>();
        grant.request = fields.at(4).get<uint64_t>();
        grant.lease = Duration::microseconds(fields.at(5).get<int64_t>());
        for (auto const& row : fields.at(6))
            grant.servers.push_back({ BackendServerId(row.at(0).get<std::string>()), row.at(1).get<uint32_t>() });
        return grant;
    }

} // namespace

std::string encodeShareMessage(ShareMessage const& message)
{
    return toCbor(std::visit([](auto const& value) { return encode(value); }, message));
}

ShareMessage decodeShareMessage(std::string_view bytes)
{
    try {
        nlohmann::json const fields = fromCbor(bytes);
        switch (static_cast<MessageTag>(fields.at(0).get<uint8_t>())) {
        case MessageTag::Request:
            return decodeRequest(fields);
        case MessageTag::Grant:
            return decodeGrant(fields);
        }
    } catch (nlohmann::json::exception const& error) {
        throw Error(ResultCode::MalformedJson, std::string("share message: ") + error.what());
    }
    throw Error(ResultCode::MalformedJson, "unknown share message");
}

uint32_t floorOf(BackendServerId const& server, uint32_t slots, HostId const& host, Span<HostId const> hosts)
{
    auto const found = std::find(hosts.begin(), hosts.end(), host);
    if (found == hosts.end())
        return 0;
    if (hosts.size() == 1)
        return slots;
    auto const count = static_cast<uint32_t>(hosts.size());
    uint32_t const reserved = slots / 2;
    auto const index = static_cast<uint32_t>(found - hosts.begin());
    auto const offset = static_cast<uint32_t>(stableHash(server.value()) % count);
    uint32_t const extra = (index + offset) % count < reserved % count ? 1 : 0;
    return reserved / count + extra;
}

} // namespace cornelpond
