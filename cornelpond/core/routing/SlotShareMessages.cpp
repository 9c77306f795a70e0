#include "cornelpond/core/routing/SlotShareMessages.h"

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

    nlohmann::json encode(SlotShareRequest const& request)
    {
        nlohmann::json servers = nlohmann::json::array();
        for (auto const& report : request.servers)
            servers.push_back(nlohmann::json::array({ report.server.value(), report.slots, report.heldSlots, report.wantedSlots }));
        return nlohmann::json::array(
            { static_cast<uint8_t>(MessageTag::Request), request.incarnation, request.requestNumber, request.lastGrantTerm.value(), request.lastGrantNumber, std::move(servers) });
    }

    nlohmann::json encode(SlotShareGrant const& grant)
    {
        nlohmann::json servers = nlohmann::json::array();
        for (auto const& share : grant.servers)
            servers.push_back(nlohmann::json::array({ share.server.value(), share.slots }));
        return nlohmann::json::array({ static_cast<uint8_t>(MessageTag::Grant), grant.term.value(), grant.grantNumber, grant.incarnation, grant.requestNumber,
            grant.lease.toMicroseconds(), std::move(servers) });
    }

    SlotShareRequest decodeRequest(nlohmann::json const& fields)
    {
        SlotShareRequest request { fields.at(1).get<uint64_t>(), fields.at(2).get<uint64_t>(), Term(fields.at(3).get<uint64_t>()), fields.at(4).get<uint64_t>(), {} };
        for (auto const& row : fields.at(5))
            request.servers.push_back({ BackendServerId(row.at(0).get<std::string>()), row.at(1).get<uint32_t>(), row.at(2).get<uint32_t>(), row.at(3).get<uint32_t>() });
        return request;
    }

    SlotShareGrant decodeGrant(nlohmann::json const& fields)
    {
        SlotShareGrant grant;
        grant.term = Term(fields.at(1).get<uint64_t>());
        grant.grantNumber = fields.at(2).get<uint64_t>();
        grant.incarnation = fields.at(3).get<uint64_t>();
        grant.requestNumber = fields.at(4).get<uint64_t>();
        grant.lease = Duration::microseconds(fields.at(5).get<int64_t>());
        for (auto const& row : fields.at(6))
            grant.servers.push_back({ BackendServerId(row.at(0).get<std::string>()), row.at(1).get<uint32_t>() });
        return grant;
    }

} // namespace

std::string encodeSlotShareMessage(SlotShareMessage const& message)
{
    return toCbor(std::visit([](auto const& value) { return encode(value); }, message));
}

SlotShareMessage decodeSlotShareMessage(std::string_view bytes)
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

uint32_t guaranteedSlots(BackendServerId const& server, uint32_t slots, HostId const& host, Span<HostId const> hosts)
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
    uint32_t const remainderSlot = (index + offset) % count < reserved % count ? 1 : 0;
    return reserved / count + remainderSlot;
}

} // namespace cornelpond
