#include "cornelpond/app/ClaimGate.h"

#include "cornelpond/core/base/StableHash.h"

namespace cornelpond {

namespace {

    constexpr Duration retryAfter = Duration::seconds(1);
    constexpr std::string_view idempotencyKeyHeader = "Idempotency-Key";

    /// A hash of the request, by which another request under the same key is detected.
    uint64_t fingerprintOf(HttpRequest const& request)
    {
        uint64_t fingerprint = stableHash(request.method);
        fingerprint = stableHash(request.path, fingerprint);
        fingerprint = stableHash(request.query, fingerprint);
        return stableHash(request.body, fingerprint);
    }

    std::string_view nameOf(ClaimResult result)
    {
        switch (result) {
        case ClaimResult::Granted:
            return "granted";
        case ClaimResult::InProgress:
            return "in progress";
        case ClaimResult::Finished:
            return "finished";
        case ClaimResult::Unknown:
            return "unknown";
        case ClaimResult::Conflict:
            return "conflict";
        case ClaimResult::Full:
            return "full";
        case ClaimResult::NotLeader:
        case ClaimResult::Unavailable:
        case ClaimResult::EndRecorded:
            break;
        }
        return "home out of reach";
    }

    RouterRefusal refusalFor(ClaimResult result)
    {
        switch (result) {
        case ClaimResult::InProgress:
            return { ResultCode::DuplicateInProgress, true, retryAfter, "the request with this key is still in progress" };
        case ClaimResult::Finished:
            return { ResultCode::AnswerNotKept, true, Duration(), "the request with this key ran; its answer was too long to keep" };
        case ClaimResult::Unknown:
            return { ResultCode::OutcomeUnknown, true, Duration(), "the request with this key may have run; it is not sent again" };
        case ClaimResult::Conflict:
            return { ResultCode::IdConflict, false, Duration(), "this key was used for another request" };
        case ClaimResult::Full:
            return { ResultCode::ClaimsFull, false, retryAfter, "no further key can be claimed now" };
        default:
            return { ResultCode::HomeUnreachable, false, retryAfter, "the key's home data centre is out of reach" };
        }
    }

    StoredAnswer toStored(HttpResponse const& response)
    {
        StoredAnswer stored;
        stored.status = response.status;
        for (auto const& field : response.headers.all())
            stored.headers.push_back({ field.name, field.value });
        stored.body = response.body;
        return stored;
    }

    HttpResponse toResponse(StoredAnswer const& stored)
    {
        HttpResponse response;
        response.status = stored.status;
        for (auto const& header : stored.headers)
            response.headers.add(header.name, header.value);
        response.headers.add("Cornelpond-Replayed", "true");
        response.body = stored.body;
        return response;
    }

} // namespace

bool ClaimGate::isNeeded(InteractiveRequest const& interactiveRequest, HttpRequest const& request)
{
    return !interactiveRequest.isRepeatable && request.headers.find(idempotencyKeyHeader);
}

void ClaimGate::claim(InteractiveRequest const& interactiveRequest, HttpRequest const& request, ClaimGateHooks const& hooks)
{
    ClaimKey const key { interactiveRequest.service, interactiveRequest.association, *request.headers.find(idempotencyKeyHeader) };
    this->client.begin(key, fingerprintOf(request), interactiveRequest.deadline,
        [this, id = interactiveRequest.id, key, hooks](ClaimId const& claim, ClaimResult result, StoredAnswer const& answer) { this->onClaimed(id, key, claim, result, answer, hooks); });
}

void ClaimGate::onClaimed(RequestId id, ClaimKey const& key, ClaimId const& claim, ClaimResult result, StoredAnswer const& answer, ClaimGateHooks const& hooks)
{
    this->events.emit(Event(EventId::ClaimDecided).with("request", id).with("key", key.key).with("outcome", std::string(nameOf(result))));
    if (result == ClaimResult::Granted) {
        this->heldClaims.emplace(id, HeldClaim { key, claim });
        hooks.onGranted();
    } else if (result == ClaimResult::Finished && answer.status) {
        hooks.onAnswered(toResponse(answer));
    } else {
        hooks.onRefused(refusalFor(result));
    }
}

void ClaimGate::onAnswered(RequestId id, HttpResponse const& response)
{
    auto const found = this->heldClaims.extract(id);
    if (found)
        this->client.finish(found.mapped().key, found.mapped().id, toStored(response));
}

void ClaimGate::onEnded(RequestId id, bool mayHaveRun)
{
    auto const found = this->heldClaims.extract(id);
    if (!found)
        return;
    if (mayHaveRun)
        this->client.abandon(found.mapped().key, found.mapped().id);
    else
        this->client.release(found.mapped().key, found.mapped().id);
}

} // namespace cornelpond
