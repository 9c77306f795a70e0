#include "cornelpond/core/claims/ClaimCommand.h"

#include "cornelpond/core/base/Json.h"
#include "cornelpond/core/base/ResultCode.h"
#include "cornelpond/core/claims/ClaimCodec.h"

namespace cornelpond {

namespace {

    /// The first element of an encoded action; stored, so values never change meaning.
    enum class ActionTag : uint8_t {
        Begin = 1,
        Finish = 2,
        Release = 3,
        Abandon = 4,
    };

    enum class MessageTag : uint8_t {
        Call = 1,
        Reply = 2,
    };

    nlohmann::json tagged(ActionTag tag, ClaimKey const& key, ClaimId const& id)
    {
        return nlohmann::json::array({ static_cast<uint8_t>(tag), encodeClaimKey(key), encodeClaimId(id) });
    }

    nlohmann::json encode(BeginClaim const& action)
    {
        nlohmann::json fields = tagged(ActionTag::Begin, action.key, action.id);
        fields.push_back(action.fingerprint);
        fields.push_back(action.timeToDeadline.toMicroseconds());
        fields.push_back(action.retention.toMicroseconds());
        return fields;
    }

    nlohmann::json encode(FinishClaim const& action)
    {
        nlohmann::json fields = tagged(ActionTag::Finish, action.key, action.id);
        fields.push_back(encodeStoredAnswer(action.answer));
        return fields;
    }

    nlohmann::json encode(ReleaseClaim const& action)
    {
        return tagged(ActionTag::Release, action.key, action.id);
    }

    nlohmann::json encode(AbandonClaim const& action)
    {
        return tagged(ActionTag::Abandon, action.key, action.id);
    }

    nlohmann::json encodeAction(ClaimAction const& action)
    {
        return std::visit([](auto const& value) { return encode(value); }, action);
    }

    ClaimAction decodeAction(nlohmann::json const& fields)
    {
        ClaimKey const key = decodeClaimKey(fields.at(1));
        ClaimId const id = decodeClaimId(fields.at(2));
        auto const durationAt = [&](size_t index) { return Duration::microseconds(fields.at(index).get<int64_t>()); };
        switch (static_cast<ActionTag>(fields.at(0).get<uint8_t>())) {
        case ActionTag::Begin:
            return BeginClaim { key, id, fields.at(3).get<uint64_t>(), durationAt(4), durationAt(5) };
        case ActionTag::Finish:
            return FinishClaim { key, id, decodeStoredAnswer(fields.at(3)) };
        case ActionTag::Release:
            return ReleaseClaim { key, id };
        case ActionTag::Abandon:
            return AbandonClaim { key, id };
        }
        throw Error(ResultCode::StorageDamaged, "unknown claim action");
    }

    nlohmann::json encode(ClaimCall const& call)
    {
        return nlohmann::json::array({ static_cast<uint8_t>(MessageTag::Call), call.callNumber, encodeAction(call.action) });
    }

    nlohmann::json encode(ClaimReply const& reply)
    {
        return nlohmann::json::array({ static_cast<uint8_t>(MessageTag::Reply), reply.callNumber, static_cast<uint8_t>(reply.result), encodeStoredAnswer(reply.answer), encodeClaimId(reply.id) });
    }

} // namespace

std::string encodeClaimCommand(ClaimCommand const& command)
{
    return toCbor(nlohmann::json::array({ command.elapsed.toMicroseconds(), encodeAction(command.action) }));
}

ClaimCommand decodeClaimCommand(std::string_view bytes)
{
    try {
        nlohmann::json const fields = fromCbor(bytes);
        return { Duration::microseconds(fields.at(0).get<int64_t>()), decodeAction(fields.at(1)) };
    } catch (nlohmann::json::exception const& error) {
        throw Error(ResultCode::StorageDamaged, std::string("claim command: ") + error.what());
    }
}

std::string encodeClaimMessage(ClaimMessage const& message)
{
    return toCbor(std::visit([](auto const& value) { return encode(value); }, message));
}

ClaimMessage decodeClaimMessage(std::string_view bytes)
{
    try {
        nlohmann::json const fields = fromCbor(bytes);
        uint64_t const number = fields.at(1).get<uint64_t>();
        if (fields.at(0).get<uint8_t>() == static_cast<uint8_t>(MessageTag::Call))
            return ClaimCall { number, decodeAction(fields.at(2)) };
        uint8_t const result = fields.at(2).get<uint8_t>();
        if (fields.at(0).get<uint8_t>() != static_cast<uint8_t>(MessageTag::Reply) || !result || result > static_cast<uint8_t>(ClaimResult::EndRecorded))
            throw Error(ResultCode::MalformedJson, "unknown claim message");
        return ClaimReply { number, decodeClaimId(fields.at(4)), static_cast<ClaimResult>(result), decodeStoredAnswer(fields.at(3)) };
    } catch (nlohmann::json::exception const& error) {
        throw Error(ResultCode::MalformedJson, std::string("claim message: ") + error.what());
    }
}

ClaimKey const& keyOf(ClaimAction const& action)
{
    return std::visit([](auto const& value) -> ClaimKey const& { return value.key; }, action);
}

ClaimId const& idOf(ClaimAction const& action)
{
    return std::visit([](auto const& value) -> ClaimId const& { return value.id; }, action);
}

} // namespace cornelpond
