#pragma once

// The schedule of faults for one soak run, drawn from a seed. Faults may overlap, but at most one fault at a time
// disrupts the control hosts, because a fleet of three tolerates only one host that is down. FaultSet::Outages
// goes further: it also takes away the majority, whose hosts return with their disks. FaultSet::Cancels alternates
// periods of faults with calm ones, in which only cancels and changes of the configuration go on. FaultSet::Restarts
// cuts workers off soon after they were started again. FaultSet::CancelledRuns alternates rounds of many overlapping
// faults, also of several control hosts at a time, with calm periods in which every cancel can be judged
// while workers drain, data centres are evacuated and the configuration changes. FaultSet::SilentRestarts does so in rounds with most workers, whose hosts
// go down without closing a connection, and kills the leader in some of them.
//
// Example:
//   for (FaultStep const& step : drawFaults(FaultSet::General, seed, Duration::seconds(20)))
//       schedule(step);

#include "cornelpond/core/base/Duration.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace cornelpond {

enum class FaultKind {
    KillHost, ///< SIGKILL; started again after `duration`.
    StopHost, ///< SIGTERM; started again as soon as it has ended.
    PauseHost, ///< SIGSTOP, then SIGCONT after `duration`.
    WipeHost, ///< SIGKILL; started again after `duration` with an empty data folder.
    TearJournal, ///< SIGKILL; started again after `duration` with garbage appended to its newest journal file.
    ReloadHost, ///< SIGHUP.
    ResetLinks, ///< Closes the open connections between the host and its peers.
    SilenceLinks, ///< Open connections between the host and its peers drop all further bytes.
    CutOneWay, ///< No bytes get from the host to its peers for `duration`.
    SlowLinks, ///< Delays and stalls on the links between the host and its peers for `duration`.
    CrashWorker, ///< Restarted under the same id after `duration`.
    CutWorker, ///< Unreachable for `duration`, but keeps running.
    SilenceWorker, ///< Open connections to the worker drop all further bytes.
    DrainWorker, ///< Announces that it drains; restarted under the same id after `duration`.
    LateOrders, ///< A share of the orders to workers is carried out late for `duration`.
    CancelWave, ///< Cancels several jobs at once.
    RaceOperators, ///< Sends two configuration versions at once to hosts drawn at random.
    FillDisk, ///< The host's files accept no more bytes for `duration`, or only a few.
    LoseMajority, ///< The other control hosts are killed or paused for `duration`; meanwhile several jobs are cancelled.
    KillEntryHost, ///< SIGKILL; started again after `duration`.
    StopEntryHost, ///< SIGTERM; started again as soon as it has ended.
    OddHeartbeats, ///< For `duration`, heartbeats of another writer come beside those of the workers.
    OddListings, ///< For `duration`, the worker's listings contain odd rows and fields.
    RemoveQueue, ///< A configuration removes a queue that has jobs, if it is not removed yet; several of its jobs are cancelled.
    ReplaceQueue, ///< As RemoveQueue; after `duration`, a configuration adds the queue again.
    ExhaustWorkerConnections, ///< For `duration`, idle connections of another client fill the worker's limit.
    RestartAndCutWorkers, ///< Half of them: restarted under their ids after half a second; `duration` later unreachable for longer than their leases.
    RestartSilently, ///< Half or two thirds of the workers: silent for a while, restarted under their ids, `duration` later unreachable for longer than their leases.
    KillLeader, ///< As KillHost, for the control host that leads.
    PauseLeader, ///< As PauseHost, for the control host that leads.
    PauseRelay, ///< As PauseHost, for a control host that does not lead.
    CutWorkerOneWay, ///< For `duration`, bytes to the worker are lost, or those from it.
    SilenceWays, ///< Every other open connection to each worker drops all further bytes.
    RestartWorkerSilently, ///< Silent for a while, then restarted under its id; its open connections are kept or closed.
    Evacuate, ///< An operator evacuates the worker's data centre, and finishes that `duration` and some seconds later.
};

enum class FaultSet {
    General, ///< Single faults of many kinds.
    Outages, ///< Full disks, lost majorities, signals and odd messages, in series.
    Cancels, ///< Removed queues and cancels, through overlapping faults and the calm periods between them.
    CancelledRuns, ///< Rounds of overlapping faults of all parts, each with a calm period, while jobs with tasks that last are cancelled.
    None, ///< For measurements.
    DeadWays, ///< Rounds of SilenceWays, for measurements.
    DeadRelay, ///< Rounds of PauseRelay, for measurements.
    Restarts, ///< Workers that are restarted and cut off, beside late orders and faults of the hosts that relay them.
    SilentRestarts, ///< Rounds of RestartSilently, some with KillLeader, while tasks run for longer than a lease.
    Evacuations, ///< Evacuated data centres, beside restarts, signals and lost majorities.
};

constexpr Duration silentDownTime = Duration::milliseconds(600); ///< From the crash of FaultKind::RestartSilently to the restart.

std::string_view faultName(FaultKind kind);

struct FaultStep {
    Duration startOffset; ///< Time from the start of the load.
    FaultKind kind = FaultKind::KillHost;
    Duration duration;
    uint64_t targetSelector = 0; ///< Selects the host or worker, modulo their number.
};

/// True if the hosts and workers, and the links between them, are sound during the fault, or a worker ends as announced.
bool isCalm(FaultKind kind);

/// True for faults that make a control host or its links to its peers fail for a while.
bool disruptsControlHost(FaultKind kind);

std::vector<FaultStep> drawFaults(FaultSet set, uint64_t seed, Duration span);

} // namespace cornelpond
