#include "cornelpond/core/claims/ClaimClient.h"

#include <algorithm>

namespace cornelpond {

ClaimClient::ClaimClient(ClaimClientOptions options, ClaimClientHooks hooks, Clock const& clock)
    : options(std::move(options))
    , hooks(std::move(hooks))
    , clock(clock)
{
}

void ClaimClient::begin(ClaimKey const& key, uint64_t fingerprint, TimePoint deadline, BeginCallback callback)
{
    ClaimId const id { this->options.self, this->options.incarnation, this->nextCallNumber };
    Duration const remaining = deadline - this->clock.now();
    if (this->calls.size() < this->options.maxOpenCalls)
        this->startCall(BeginClaim { key, id, fingerprint, remaining, Duration() }, std::move(callback), std::min(this->options.beginTimeout, remaining));
    else
        callback(id, ClaimResult::Full, StoredAnswer());
}

void ClaimClient::finish(ClaimKey const& key, ClaimId const& id, StoredAnswer answer)
{
    this->startCall(FinishClaim { key, id, std::move(answer) }, nullptr, this->options.endTimeout);
}

void ClaimClient::release(ClaimKey const& key, ClaimId const& id)
{
    this->startCall(ReleaseClaim { key, id }, nullptr, this->options.endTimeout);
}

void ClaimClient::abandon(ClaimKey const& key, ClaimId const& id)
{
    this->startCall(AbandonClaim { key, id }, nullptr, this->options.endTimeout);
}

void ClaimClient::startCall(ClaimAction action, BeginCallback callback, Duration timeout)
{
    uint64_t const number = this->nextCallNumber++;
    if (!callback && this->calls.size() >= 2 * this->options.maxOpenCalls)
        return; // The claim stays in progress and counts as unknown after its deadline.
    Call call;
    call.action = std::move(action);
    call.callback = std::move(callback);
    call.giveUpAt = this->clock.now() + timeout;
    this->calls.emplace(number, std::move(call));
    this->sendCall(number);
}

/// Each attempt goes to the next candidate.
void ClaimClient::sendCall(uint64_t number)
{
    Call& call = this->calls.at(number);
    call.lastSentAt = this->clock.now();
    DataCentreId const home = homeDataCentreOf(keyOf(call.action), { this->options.dataCentres.data(), this->options.dataCentres.size() });
    std::vector<HostId> const candidates = this->hooks.candidates(home);
    if (candidates.empty())
        return;
    HostId const& target = candidates[call.sendCount++ % candidates.size()];
    ClaimAction const action = call.action;
    if (target == this->options.self)
        this->hooks.handleLocally(action, [this, number, id = idOf(action)](ClaimResult result, StoredAnswer const& answer) { this->onReply({ number, id, result, answer }); });
    else
        this->hooks.send(target, encodeClaimMessage(ClaimCall { number, action }));
}

void ClaimClient::onMessage(HostId const& from, std::string_view bytes)
{
    ClaimMessage const message = decodeClaimMessage(bytes);
    if (auto const* reply = std::get_if<ClaimReply>(&message)) {
        this->onReply(*reply);
        return;
    }
    auto const& call = std::get<ClaimCall>(message);
    this->hooks.handleLocally(call.action, [this, from, number = call.callNumber, id = idOf(call.action)](ClaimResult result, StoredAnswer const& answer) {
        this->hooks.send(from, encodeClaimMessage(ClaimReply { number, id, result, answer }));
    });
}

void ClaimClient::onReply(ClaimReply const& reply)
{
    auto const found = this->calls.find(reply.callNumber);
    if (found == this->calls.end() || idOf(found->second.action) != reply.id)
        return;
    bool const isRetryable = reply.result == ClaimResult::NotLeader || reply.result == ClaimResult::Unavailable;
    if (!isRetryable)
        this->endCall(reply.callNumber, reply.result, reply.answer);
}

void ClaimClient::endCall(uint64_t number, ClaimResult result, StoredAnswer const& answer)
{
    Call const call = std::move(this->calls.at(number));
    this->calls.erase(number);
    if (call.callback)
        call.callback(idOf(call.action), result, answer);
}

void ClaimClient::onTick()
{
    TimePoint const now = this->clock.now();
    std::vector<uint64_t> due;
    for (auto const& [number, call] : this->calls) {
        if (now >= call.giveUpAt || now - call.lastSentAt >= this->options.resendAfter)
            due.push_back(number);
    }
    for (uint64_t const number : due) {
        auto const found = this->calls.find(number);
        if (found == this->calls.end())
            continue;
        if (now < found->second.giveUpAt) {
            this->sendCall(number);
            continue;
        }
        ClaimAction const action = found->second.action;
        this->endCall(number, ClaimResult::Unavailable, StoredAnswer());
        // The claim may have been committed nevertheless. The request was not sent, so the key can be released.
        if (std::holds_alternative<BeginClaim>(action))
            this->release(keyOf(action), idOf(action));
    }
}

} // namespace cornelpond
