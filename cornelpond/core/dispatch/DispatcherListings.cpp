// What a worker's listing says of its attempts and of their ends, and which of these it may drop.

#include "cornelpond/core/dispatch/Dispatcher.h"

#include <algorithm>
#include <iterator>

namespace cornelpond {

namespace {

    constexpr Duration uncommittedEndsRenewalDelay = Duration::milliseconds(100); ///< Between renewals while listed ends await their commit.

} // namespace

void Dispatcher::handleListing(WorkerView& view, SendContext const& sent, WorkerListing const& listing)
{
    TimePoint const now = this->clock.now();
    if (listing.bornMs && view.profile.bornMs && listing.bornMs != view.profile.bornMs) {
        view.profile.bornMs = listing.bornMs;
        this->onNewIncarnation(view, "listing");
        this->hooks.recordProcess(view.profile);
    }
    bool const hasSeenGeneration = view.generation == sent.generation;
    if (hasSeenGeneration && view.mayReceiveFormerOrders) {
        view.noteGenerationSeen(now, this->times);
        this->reportFormerOrders(view, "first answer");
    }
    bool const isFirst = !view.hasListing;
    view.hasListing = true;
    view.listingBornMs = listing.bornMs;
    if (view.consecutiveRenewalFailures)
        view.nextCheckAt = now; // The proposal to remove a silent worker puts it off.
    view.consecutiveRenewalFailures = 0;
    view.lastAnswerAt = now;
    this->handleRunningAttempts(view, listing, sent.at);
    this->handleListedEnds(view, listing);
    // Until the process has seen the present generation, it may still accept a start for a former one.
    if (listing.isComplete && hasSeenGeneration)
        this->concludeMissing(view, sent.at);
    this->acknowledgeEnds(view);
    view.nextRenewalAt = view.listedEnds.empty() ? now : now + uncommittedEndsRenewalDelay;
    view.renewalHeldUntil = now + this->times.orderTimeout; // Set before the stop is sent: it may end at once.
    if (!this->sendOverdueStop(view))
        view.renewalHeldUntil = now;
    this->hooks.onListingRead(view);
    if (isFirst)
        this->hooks.onCapacityChanged();
}

/// `sentAt`: when the listing was requested.
void Dispatcher::handleRunningAttempts(WorkerView& view, WorkerListing const& listing, TimePoint sentAt)
{
    TimePoint const now = this->clock.now();
    for (auto& [key, orphan] : view.orphanedAttempts)
        orphan.isListed = false;
    view.listingCount++;
    for (auto const& row : listing.running) {
        PlacedAttempt* attempt = view.find(row.task, row.attempt);
        if (!attempt || attempt->phase == PlacedAttempt::Phase::Proposed || attempt->isEndProposed) {
            auto const [orphan, isNew] = view.orphanedAttempts.try_emplace({ row.task, row.attempt });
            orphan->second.isListed = true;
            orphan->second.stopOrders.noteListed(sentAt);
            if (!orphan->second.listedSince) {
                orphan->second.listedSince = now;
                this->reportStray(view, orphan->first);
            }
            if (isNew)
                this->reportSeen(view, orphan->first, "listing");
            continue;
        }
        if (attempt->phase != PlacedAttempt::Phase::Running) {
            attempt->phase = PlacedAttempt::Phase::Running;
            attempt->confirmedAt = now;
            this->reportSeen(view, { row.task, row.attempt }, "listing");
        }
        if (attempt->refusedAsOldAt && *attempt->refusedAsOldAt < sentAt)
            reopen(*attempt);
        attempt->stopOrders.noteListed(sentAt);
        view.settleStart(*attempt);
        attempt->lastListing = view.listingCount;
        attempt->lastListedAt = now;
        attempt->isInherited = false;
        attempt->progressPercent = row.progressPercent;
        attempt->latencyMsOrMilliCores = row.latencyMsOrMilliCores;
        if (!row.checkpoint.empty())
            attempt->checkpoint = row.checkpoint;
    }
}

/// Of an attempt that runs although the worker refused its start as old: it goes on, unless it has been stopped.
void Dispatcher::reopen(PlacedAttempt& attempt)
{
    attempt.refusedAsOldAt.reset();
    attempt.isStopping = attempt.stopOrders.sent;
    attempt.stopOrders.confirmedAt.reset();
    attempt.stopOrders.nextAt = TimePoint();
}

void Dispatcher::handleListedEnds(WorkerView& view, WorkerListing const& listing)
{
    view.listedEnds.clear();
    for (auto const& end : listing.ended) {
        if (end.number <= view.acknowledgedEnds) {
            view.deliveredAcknowledgedEnds = 0; // The acknowledgement was lost; send it again.
            continue;
        }
        view.listedEnds.push_back(end);
        view.endsListedAt.try_emplace(end.number, this->clock.now());
        PlacedAttempt* attempt = view.find(end.task, end.attempt);
        if (attempt && attempt->phase != PlacedAttempt::Phase::Proposed) {
            this->proposeEnd(view, *attempt, end.end, end.checkpoint.empty() ? attempt->checkpoint : end.checkpoint);
            continue;
        }
        if (isEndOfRun(end.end))
            this->reportSeen(view, { end.task, end.attempt }, "listed end");
        if (!attempt && this->isLateFinish(end)) {
            this->proposedFinishes.insert(end.task);
            this->hooks.proposeEnd({ end.task, end.attempt, view.profile.id, end.end, end.checkpoint });
        }
    }
}

/// True when the attempt was concluded while its worker could not be reached, but finished its task there.
bool Dispatcher::isLateFinish(ListedEnd const& end) const
{
    return end.end == AttemptEnd::Done && this->jobs.canFinishLate(end.task, end.attempt);
}

/// Acknowledges without delay the ends that waited for a start's answer: while they are listed, no renewal waits for further ones.
void Dispatcher::acknowledgeHeldEnds(WorkerView& view)
{
    if (view.listedEnds.empty())
        return;
    this->acknowledgeEnds(view);
    if (view.listedEnds.empty())
        view.nextRenewalAt = this->clock.now();
}

/// Acknowledges listed ends, in their order, so that the worker may drop them: those that are committed or belong to
/// an attempt that had ended before. An end as done must stay listed while another attempt of its task is live: the
/// start order of that attempt may still be in flight. So must one that was listed while a start was open: a later process may read
/// the start and then the acknowledgement, which would make it forget the end of what it started.
void Dispatcher::acknowledgeEnds(WorkerView& view)
{
    if (view.listedEnds.empty())
        return;
    TimePoint const oldestOpenStart = view.oldestOpenStart();
    auto const isOpen = [&](ListedEnd const& end) {
        if (oldestOpenStart <= view.endsListedAt[end.number])
            return true;
        bool const hasLiveAttempt = end.end == AttemptEnd::Done && this->jobs.hasLiveNonServiceAttempt(end.task);
        return hasLiveAttempt || this->jobs.isLive(end.task, { end.attempt, view.profile.id }) || this->isLateFinish(end);
    };
    auto const firstOpen = std::find_if(view.listedEnds.begin(), view.listedEnds.end(), isOpen);
    if (firstOpen != view.listedEnds.begin())
        view.acknowledgedEnds = std::max(view.acknowledgedEnds, std::prev(firstOpen)->number);
    view.listedEnds.erase(view.listedEnds.begin(), firstOpen);
    view.endsListedAt.erase(view.endsListedAt.begin(), view.endsListedAt.upper_bound(view.acknowledgedEnds));
}

} // namespace cornelpond
