#include "cornelpond/core/claims/ClaimClient.h"

#include <algorithm>

namespace cornelpond {

ClaimClient::ClaimClient(ClaimClientOptions options, ClaimClientHooks hooks, Clock const& clock)
    : options(std::move(options))
    , hooks(std::move(hooks))
    , clock(clock)
{
}

void ClaimClient::begin(ClaimKey const& key, uint64_t fingerprint, TimePoint deadline, Begun begun)
{
    ClaimId const id { this->options.self, this->options.incarnation, this->nextNumber };
    Duration const remaining = deadline - this->clock.now();
    if (this->calls.size() < this->options.maxOpenCalls)
        this->open(BeginClaim { key, id, fingerprint, remaining, Duration() }, std::move(begun), std::min(this->options.giveUpAfter, remaining));
    else
        begun(id, ClaimResult::Full, StoredAnswer());
}

void ClaimClient::finish(ClaimKey const& key, ClaimId const& id, StoredAnswer answer)
{
    this->open(FinishClaim { key, id, std::move(answer) }, nullptr, this->options.endGiveUpAfter);
}

void ClaimClient::release(ClaimKey const& key, ClaimId const& id)
{
    this->open(ReleaseClaim { key, id }, nullptr, this->options.endGiveUpAfter);
}

void ClaimClient::abandon(ClaimKey const& key, ClaimId const& id)
{
    this->open(AbandonClaim { key, id }, nullptr, this->options.endGiveUpAfter);
}

void ClaimClient::open(ClaimAction action, Begun begun, Duration giveUpAfter)
{
    uint64_t const number = this->nextNumber++;
    if (!begun && this->calls.size() >= 2 * this->options.maxOpenCalls)
        return; // The claim stays open and counts as unknown after its deadline.
    Call call;
    call.action = std::move(action);
    call.begun = std::move(begun);
    call.giveUp = this->clock.now() + giveUpAfter;
    this->calls.emplace(number, std::move(call));
    this->send(number);
}

/// Tries one candidate after the other.
void ClaimClient::send(uint64_t number)
{
    Call& call = this->calls.at(number);
    call.sent = this->clock.now();
    DataCentreId const home = homeOf(keyOf(call.action), { this->options.dataCentres.data(), this->options.dataCentres.size() });
    std::vector<HostId> const candidates = this->hooks.candidates(home);
    if (candidates.empty())
        return;
    HostId const& target = candidates[call.tries++ % candidates.size()];
    ClaimAction const action = call.action;
    if (target == this->options.self)
        this->hooks.handleHere(action, [this, number, id = idOf(action)](ClaimResult result, StoredAnswer const& answer) { this->onReply({ number, id, result, answer }); });
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
    this->hooks.handleHere(call.action, [this, from, number = call.number, id = idOf(call.action)](ClaimResult result, StoredAnswer const& answer) {
        this->hooks.send(from, encodeClaimMessage(ClaimReply { number, id, result, answer }));
    });
}

void ClaimClient::onReply(ClaimReply const& reply)
{
    auto const found = this->calls.find(reply.number);
    if (found == this->calls.end() || idOf(found->second.action) != reply.id)
        return;
    bool const mayChange = reply.result == ClaimResult::NotLeader || reply.result == ClaimResult::Unavailable;
    if (!mayChange)
        this->close(reply.number, reply.result, reply.answer);
}

void ClaimClient::close(uint64_t number, ClaimResult result, StoredAnswer const& answer)
{
    Call const call = std::move(this->calls.at(number));
    this->calls.erase(number);
    if (call.begun)
        call.begun(idOf(call.action), result, answer);
}

void ClaimClient::onTick()
{
    TimePoint const now = this->clock.now();
    std::vector<uint64_t> due;
    for (auto const& [number, call] : this->calls) {
        if (now >= call.giveUp || now - call.sent >= this->options.resendAfter)
            due.push_back(number);
    }
    for (uint64_t const number : due) {
        auto const found = this->calls.find(number);
        if (found == this->calls.end())
            continue;
        if (now < found->second.giveUp) {
            this->send(number);
            continue;
        }
        ClaimAction const action = found->second.action;
        this->close(number, ClaimResult::Unavailable, StoredAnswer());
        // The claim may have been committed all the same; nothing was sent, so the key may be freed.
        if (std::holds_alternative<BeginClaim>(action))
            this->release(keyOf(action), idOf(action));
    }
}

} // namespace cornelpond
