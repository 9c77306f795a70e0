#include "cornelpond/core/claims/ClaimCodec.h"

namespace cornelpond {

namespace {

    /// Header values and bodies need not be UTF-8.
    nlohmann::json encodeBytes(std::string const& bytes)
    {
        return nlohmann::json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
    }

    std::string decodeBytes(nlohmann::json const& value)
    {
        auto const& bytes = value.get_binary();
        return { bytes.begin(), bytes.end() };
    }

} // namespace

nlohmann::json encodeClaimKey(ClaimKey const& key)
{
    return nlohmann::json::array({ key.service.value(), key.association.value(), encodeBytes(key.key) });
}

ClaimKey decodeClaimKey(nlohmann::json const& value)
{
    return { ServiceId(value.at(0).get<std::string>()), AssociationId(value.at(1).get<std::string>()), decodeBytes(value.at(2)) };
}

nlohmann::json encodeClaimId(ClaimId const& id)
{
    return nlohmann::json::array({ id.host.value(), id.incarnation, id.sequence });
}

ClaimId decodeClaimId(nlohmann::json const& value)
{
    return { HostId(value.at(0).get<std::string>()), value.at(1).get<uint64_t>(), value.at(2).get<uint64_t>() };
}

nlohmann::json encodeStoredAnswer(StoredAnswer const& answer)
{
    nlohmann::json headers = nlohmann::json::array();
    for (auto const& header : answer.headers)
        headers.push_back(nlohmann::json::array({ encodeBytes(header.name), encodeBytes(header.value) }));
    return nlohmann::json::array({ answer.status, std::move(headers), encodeBytes(answer.body) });
}

StoredAnswer decodeStoredAnswer(nlohmann::json const& value)
{
    StoredAnswer answer;
    answer.status = value.at(0).get<int>();
    for (auto const& header : value.at(1))
        answer.headers.push_back({ decodeBytes(header.at(0)), decodeBytes(header.at(1)) });
    answer.body = decodeBytes(value.at(2));
    return answer;
}

} // namespace cornelpond
