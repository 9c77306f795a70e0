#include "cornelpond/core/scheduling/WorkerRegistration.h"

#include <algorithm>
#include <utility>

namespace cornelpond {

WorkerRegistration::WorkerRegistration(Clock const& clock, EventSink& events, CommandLog& rosterLog, WorkerRoster const& roster, QueueTable const& queues, Dispatcher& dispatch)
    : clock(clock)
    , events(events)
    , rosterLog(rosterLog)
    , roster(roster)
    , queues(queues)
    , dispatch(dispatch)
{
}

void WorkerRegistration::announce(WorkerReport const& announcement, CallDone done)
{
    if (!this->rosterLog.isLeader()) {
        done(CallResult::NotLeader);
        return;
    }
    WorkerProfile const& profile = announcement.profile;
    // Anyone may send announcements. One for a service that is not configured is refused. One that gives another
    // worker's address proves nothing about that worker: only an answer from the address does.
    WorkerProfile const* known = this->roster.find(profile.id);
    bool const isConfigured = !this->queues.hasConfig() || this->queues.findService(profile.service);
    bool const servesRunningJobs = known && known->service == profile.service;
    if (!isConfigured && !servesRunningJobs) {
        done(CallResult::Refused);
        return;
    }
    auto& [lastBornMs, lastSequence] = this->lastSequences[profile.id];
    bool const isOvertaken = lastBornMs == profile.bornMs && announcement.sequence && announcement.sequence < lastSequence;
    WorkerView const* view = this->dispatch.findWorker(profile.id);
    bool const isBornEarlier = known && known->bornMs > profile.bornMs;
    bool const isPresent = view && view->profile.bornMs == profile.bornMs;
    bool const isStale = isOvertaken || (isBornEarlier && !isPresent) || this->isOfFormerProcess(profile.id, profile.bornMs);
    if (isStale) {
        done(CallResult::Done);
        return;
    }
    lastBornMs = profile.bornMs;
    lastSequence = announcement.sequence;
    if (profile.isDraining)
        this->drainEnds[profile.id] = this->clock.now() + announcement.drainRemaining;
    this->dispatch.onWorkerAnnounced(profile.id);
    if (isBornEarlier) {
        this->recordEarlierBorn(*known, profile, *view, std::move(done));
        return;
    }
    WorkerProfile expected = profile;
    if (known && known->bornMs == profile.bornMs)
        expected.isDraining |= known->isDraining;
    if (known && *known == expected)
        done(CallResult::Done);
    else
        this->put(expected, std::move(done));
}

/// Records a process that the worker has listed, though the one in the roster has a later start time: its clock was set back.
void WorkerRegistration::recordEarlierBorn(WorkerProfile known, WorkerProfile const& announced, WorkerView const& view, CallDone done)
{
    // Starts that are decided from now on follow the removal in the log, so they are not lost with it.
    if (view.placed.empty() && view.orphanedAttempts.empty()) {
        this->remove(known.id, known.bornMs, [](CallResult) {});
        this->put(announced, std::move(done));
    } else if (announced.isDraining && !known.isDraining) {
        known.isDraining = true;
        this->put(known, std::move(done));
    } else {
        done(CallResult::Done);
    }
}

/// True if the worker has listed since as another process, which the roster may not know yet.
bool WorkerRegistration::isOfFormerProcess(WorkerId const& worker, int64_t bornMs)
{
    WorkerProfile const* known = this->roster.find(worker);
    WorkerView const* view = this->dispatch.findWorker(worker);
    if (!known || !view || view->profile.bornMs == bornMs)
        return false;
    // The view's start time differs from the roster's only after a listing; it may be the earlier one, as clocks are set.
    return bornMs < view->profile.bornMs || bornMs == known->bornMs;
}

bool WorkerRegistration::isAlreadyRecorded(WorkerReport const& announcement) const
{
    WorkerProfile const* known = this->roster.find(announcement.profile.id);
    return known && !known->isDraining && *known == announcement.profile && this->queues.findService(known->service);
}

void WorkerRegistration::put(WorkerProfile const& profile, CallDone done)
{
    this->rosterLog.propose(encodeRosterCommand(PutWorker { profile }), [done = std::move(done)](ProposalOutcome const& outcome) { done(callResultOf(outcome.code)); });
}

void WorkerRegistration::deregister(WorkerDeparture const& departure, CallDone done)
{
    if (!this->rosterLog.isLeader()) {
        done(CallResult::NotLeader);
        return;
    }
    WorkerProfile const* known = this->roster.find(departure.worker);
    char const* reason = known ? this->keepReason(*known, departure) : "not known";
    this->events.emit(Event(EventId::WorkerDeregistered)
                          .with("worker", departure.worker)
                          .with("bornMs", departure.bornMs)
                          .with("knownBornMs", known ? known->bornMs : 0)
                          .with("outcome", reason ? reason : "removed"));
    if (!known)
        done(CallResult::Done);
    else if (reason)
        this->drainLeavingWorker(*known, departure, std::move(done));
    else
        this->remove(departure.worker, std::max(known->bornMs, departure.bornMs), std::move(done));
}

/// Why the worker is not removed; null when it is.
char const* WorkerRegistration::keepReason(WorkerProfile const& known, WorkerDeparture const& departure)
{
    if (departure.bornMs && (departure.bornMs < known.bornMs || this->isOfFormerProcess(known.id, departure.bornMs)))
        return "of an earlier incarnation";
    WorkerView const* view = this->dispatch.findWorker(known.id);
    return view && !view->placed.empty() ? "tasks placed" : nullptr;
}

void WorkerRegistration::drainLeavingWorker(WorkerProfile known, WorkerDeparture const& departure, CallDone done)
{
    bool const isItsOwn = departure.bornMs && departure.bornMs == known.bornMs && !this->isOfFormerProcess(known.id, departure.bornMs);
    if (!isItsOwn || known.isDraining) {
        done(CallResult::Done);
        return;
    }
    known.isDraining = true;
    this->drainEnds[known.id] = this->clock.now();
    this->put(known, std::move(done));
}

void WorkerRegistration::remove(WorkerId const& worker, int64_t bornMs, CallDone done)
{
    this->rosterLog.propose(encodeRosterCommand(RemoveWorker { worker, bornMs }), [done = std::move(done)](ProposalOutcome const& outcome) { done(callResultOf(outcome.code)); });
}

void WorkerRegistration::recordListed(WorkerProfile const& profile)
{
    WorkerProfile const* known = this->roster.find(profile.id);
    if (!known || known->bornMs >= profile.bornMs)
        return;
    WorkerProfile listed = profile;
    listed.isDraining = false; // That of the former process.
    this->put(listed, [](CallResult) {});
}

void WorkerRegistration::settle(WorkerProfile const& profile)
{
    WorkerProfile const* known = this->roster.find(profile.id);
    if (!known || known->bornMs != profile.bornMs)
        return;
    this->events.emit(Event(EventId::WorkerProcessSettled).with("worker", profile.id).with("bornMs", profile.bornMs));
    this->rosterLog.propose(encodeRosterCommand(SettleWorker { profile.id, profile.bornMs }), [](ProposalOutcome const&) {});
}

std::optional<TimePoint> WorkerRegistration::drainEnd(WorkerId const& worker) const
{
    auto const found = this->drainEnds.find(worker);
    return found == this->drainEnds.end() ? std::nullopt : std::optional<TimePoint>(found->second);
}

void WorkerRegistration::onWorkerRemoved(WorkerId const& worker)
{
    // Otherwise one announcement with a number too large would make all later ones of that worker look outdated.
    this->lastSequences.erase(worker);
}

void WorkerRegistration::clear()
{
    this->lastSequences.clear();
    this->drainEnds.clear();
}

} // namespace cornelpond
