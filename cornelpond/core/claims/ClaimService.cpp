#include "cornelpond/core/claims/ClaimService.h"

namespace cornelpond {

ClaimService::ClaimService(Clock const& clock, CommandLog& log, ClaimLimits limits)
    : clock(clock)
    , log(log)
    , limits(limits)
{
}

/// The time between two leaders is not counted, so a key never expires too early.
void ClaimService::onLeadership(bool isLeader)
{
    if (isLeader)
        this->lastProposalAt = this->clock.now();
}

void ClaimService::handle(ClaimAction const& action, Done const& done)
{
    if (!this->log.isLeader()) {
        done(ClaimResult::NotLeader, StoredAnswer());
        return;
    }
    if (auto const* begin = std::get_if<BeginClaim>(&action)) {
        this->begin(*begin, done);
        return;
    }
    this->propose(this->withoutLargeAnswer(action), [done](ProposalOutcome const& outcome) {
        bool const isRefused = outcome.code == ResultCode::NotLeader;
        ClaimResult const failure = isRefused ? ClaimResult::NotLeader : ClaimResult::Unavailable;
        done(outcome.code == ResultCode::Ok ? ClaimResult::EndRecorded : failure, StoredAnswer());
    });
}

void ClaimService::begin(BeginClaim action, Done const& done)
{
    if (this->claims.find(action.key)) {
        this->answerFromTable(action, done);
        return;
    }
    if (this->claims.size() >= this->limits.maxKeys) {
        done(ClaimResult::Full, StoredAnswer());
        return;
    }
    action.retention = this->limits.keyRetention;
    this->propose(action, [this, action, done](ProposalOutcome const& outcome) {
        if (outcome.code == ResultCode::Ok)
            this->answerFromTable(action, done);
        else
            done(outcome.code == ResultCode::NotLeader ? ClaimResult::NotLeader : ClaimResult::Unavailable, StoredAnswer());
    });
}

void ClaimService::answerFromTable(BeginClaim const& action, Done const& done) const
{
    ClaimTable::Entry const* entry = this->claims.find(action.key);
    ClaimResult const result = this->claims.resultFor(action);
    done(result, result == ClaimResult::Finished ? entry->answer : StoredAnswer());
}

void ClaimService::propose(ClaimAction action, CommandLog::Done done)
{
    TimePoint const now = this->clock.now();
    Duration const elapsed = now - this->lastProposalAt;
    this->lastProposalAt = now;
    this->log.propose(encodeClaimCommand({ elapsed, std::move(action) }), std::move(done));
}

ClaimAction ClaimService::withoutLargeAnswer(ClaimAction action) const
{
    auto* finish = std::get_if<FinishClaim>(&action);
    if (!finish)
        return action;
    size_t const bytes = finish->answer.byteSize();
    if (bytes > this->limits.maxAnswerBytes || this->claims.answerBytes() + bytes > this->limits.maxTotalAnswerBytes)
        finish->answer = StoredAnswer();
    return action;
}

} // namespace cornelpond
