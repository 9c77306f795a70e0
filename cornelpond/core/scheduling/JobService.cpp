#include "cornelpond/core/scheduling/JobService.h"

#include "cornelpond/core/base/ResultCode.h"

namespace cornelpond {

namespace {

    constexpr Duration evacuationResendLimit = Duration::seconds(5); ///< Operators send a call again for no longer.
    constexpr size_t maxDataCentres = 1000; ///< Anyone may send announcements.

} // namespace

JobService::JobService(Clock const& clock, EventSink& events, WorkerOrders& orders, DispatchTimes times, JobLimits limits)
    : clock(clock)
    , events(events)
    , repeatedCalls(evacuationResendLimit)
    , queueLog(this->stateMachines.add(StateMachinePart::Queues, this->queueHooks()))
    , workerLog(this->stateMachines.add(StateMachinePart::Workers, this->workerHooks()))
    , jobLog(this->stateMachines.add(StateMachinePart::Jobs, this->jobHooks()))
    , evacuationLog(this->stateMachines.add(StateMachinePart::Evacuations, this->evacuationHooks()))
    , jobScheduler(clock, events, this->jobLog, this->workerLog, this->queues, this->evacuationTable, orders, times, limits)
{
}

void JobService::attach(CommandLog& carrier)
{
    this->carrierLog = &carrier;
    this->stateMachines.attach(carrier);
}

StateMachineHooks JobService::queueHooks()
{
    StateMachineHooks hooks;
    hooks.apply = [this](LogIndex, std::string const& command) {
        if (!this->queues.replace(decodeQueueConfig(command)))
            return;
        this->events.emit(Event(EventId::ConfigurationInForce).with("version", this->queues.config().version).with("queues", this->queues.config().queues.size()));
        this->jobScheduler.onQueuesChanged();
    };
    hooks.takeSnapshot = [this] { return this->queues.takeSnapshot(); };
    hooks.restore = [this](std::string const& state) { this->queues.restore(state); };
    hooks.onLeadership = [](bool) {};
    return hooks;
}

StateMachineHooks JobService::workerHooks()
{
    StateMachineHooks hooks;
    hooks.apply = [this](LogIndex, std::string const& command) {
        this->jobScheduler.applyRosterCommand(command);
        this->noteDataCentres();
    };
    hooks.takeSnapshot = [this] { return this->jobScheduler.takeRosterSnapshot(); };
    hooks.restore = [this](std::string const& state) {
        this->jobScheduler.restoreRoster(state);
        this->noteDataCentres();
    };
    hooks.onLeadership = [](bool) {};
    return hooks;
}

StateMachineHooks JobService::jobHooks()
{
    StateMachineHooks hooks;
    hooks.apply = [this](LogIndex, std::string const& command) { this->jobScheduler.applyJobCommand(command); };
    hooks.takeSnapshot = [this] { return this->jobScheduler.takeJobSnapshot(); };
    hooks.restore = [this](std::string const& state) { this->jobScheduler.restoreJobs(state); };
    hooks.onLeadership = [this](bool isLeader) { this->jobScheduler.onLeadership(isLeader); };
    return hooks;
}

StateMachineHooks JobService::evacuationHooks()
{
    StateMachineHooks hooks;
    hooks.apply = [this](LogIndex, std::string const& command) { this->applyEvacuation(decodeEvacuationCommand(command)); };
    hooks.takeSnapshot = [this] { return this->evacuationTable.takeSnapshot(); };
    hooks.restore = [this](std::string const& state) { this->evacuationTable.restore(state); };
    hooks.onLeadership = [](bool) {};
    return hooks;
}

void JobService::applyEvacuation(EvacuationCommand const& command)
{
    // Also a call that changes nothing may be sent again after the state was reversed.
    this->repeatedCalls.noteApplied(command.change, command.dataCentre, this->clock.now());
    if (!this->evacuationTable.apply(command))
        return;
    bool const isStart = command.change == EvacuationChange::Start;
    this->events.emit(Event(isStart ? EventId::EvacuationStarted : EventId::EvacuationFinished).with("dataCentre", command.dataCentre).with("evacuated", this->evacuationTable.all().size()));
    this->jobScheduler.onEvacuationsChanged();
}

void JobService::noteDataCentres()
{
    for (auto const& [id, worker] : this->jobScheduler.roster().all()) {
        if (this->announcedDataCentres.size() < maxDataCentres)
            this->announcedDataCentres.insert(worker.dataCentre);
    }
}

std::set<DataCentreId> JobService::dataCentres() const
{
    std::set<DataCentreId> all = this->announcedDataCentres;
    for (auto const& [dataCentre, startedWallMs] : this->evacuationTable.all())
        all.insert(dataCentre);
    return all;
}

void JobService::changeEvacuation(EvacuationChange change, DataCentreId const& dataCentre, std::function<void(CallResult, Duration)> done)
{
    if (!this->carrierLog || !this->carrierLog->isLeadershipConfirmed()) {
        done(CallResult::NotLeader, Duration());
        return;
    }
    bool const isStart = change == EvacuationChange::Start;
    std::optional<Duration> const ambiguousFor = this->repeatedCalls.ambiguousFor(change, dataCentre, this->clock.now());
    auto const proposed = this->proposedEvacuations.find(dataCentre);
    bool const reversesProposed = proposed != this->proposedEvacuations.end() && proposed->second.first != change;
    if ((this->evacuationTable.isEvacuated(dataCentre) != isStart || reversesProposed) && ambiguousFor) {
        this->events.emit(Event(EventId::EvacuationRefused).with("dataCentre", dataCentre).with("start", isStart).with("reason", "may be a copy of an earlier call").with("retryAfterMs", *ambiguousFor));
        done(CallResult::Refused, *ambiguousFor);
        return;
    }
    // Proposed even if it changes nothing: a call that reverses the state may be on its way to its commit.
    EvacuationCommand const command { change, dataCentre, this->clock.wallMilliseconds() };
    uint64_t const number = ++this->lastEvacuationCall;
    this->proposedEvacuations[dataCentre] = { change, number };
    this->evacuationLog.propose(encodeEvacuationCommand(command), [this, command, isStart, number, done = std::move(done)](ProposalOutcome const& outcome) {
        auto const latest = this->proposedEvacuations.find(command.dataCentre);
        if (latest != this->proposedEvacuations.end() && latest->second.second == number)
            this->proposedEvacuations.erase(latest);
        if (outcome.code != ResultCode::Ok)
            this->events.emit(Event(EventId::EvacuationRefused).with("dataCentre", command.dataCentre).with("start", isStart).with("reason", "not committed").with("code", static_cast<int>(outcome.code)));
        done(callResultOf(outcome.code), Duration());
    });
}

QueueLookup JobService::findQueue(std::string_view host, std::string_view path, QueueSpec& queue) const
{
    if (!this->carrierLog || !this->carrierLog->isLeadershipConfirmed())
        return QueueLookup::NotLeader;
    if (!this->queues.hasConfig())
        return QueueLookup::NoConfiguration;
    QueueSpec const* found = this->queues.match(host, path);
    if (!found)
        return QueueLookup::NotFound;
    queue = *found;
    return QueueLookup::Found;
}

void JobService::replaceQueues(QueueConfig const& config, JobScheduler::Done done)
{
    checkQueueConfig(config);
    if (!this->isLeader()) {
        done(CallResult::NotLeader);
        return;
    }
    if (config.version <= this->queues.config().version) {
        done(CallResult::Done);
        return;
    }
    ConfigVersion const version = config.version;
    this->queueLog.propose(encodeQueueConfig(config), [this, version, done = std::move(done)](ProposalOutcome const& outcome) {
        bool const isCommitted = outcome.code == ResultCode::Ok;
        this->events.emit(Event(isCommitted ? EventId::ConfigurationAccepted : EventId::ConfigurationRefused).with("version", version).with("code", static_cast<int>(outcome.code)));
        if (isCommitted)
            done(CallResult::Done);
        else
            done(outcome.code == ResultCode::OutcomeUnknown ? CallResult::OutcomeUnknown : CallResult::NotLeader);
    });
}

QueueConfig const* JobService::readQueues() const
{
    bool const isConfirmed = this->carrierLog && this->carrierLog->isLeadershipConfirmed();
    return isConfirmed && this->queues.hasConfig() ? &this->queues.config() : nullptr;
}

} // namespace cornelpond
