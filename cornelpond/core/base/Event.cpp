#include "cornelpond/core/base/Event.h"

#include <array>
#include <stdexcept>

namespace cornelpond {

namespace {

    constexpr std::array events = {
        EventInfo { EventId::HostStarted, "HostStarted", "The host has started serving." },
        EventInfo { EventId::HostStopping, "HostStopping", "A graceful shutdown began; nothing new is accepted." },
        EventInfo { EventId::HostStopped, "HostStopped", "The process exits; `cut` counts the requests that were aborted." },
        EventInfo { EventId::ListenerOpened, "ListenerOpened", "A listener accepts connections." },
        EventInfo { EventId::InputRefused, "InputRefused", "A request was refused for bad input; nothing was changed." },
        EventInfo { EventId::InternalFault, "InternalFault", "An unexpected error was caught; the process continues." },
        EventInfo { EventId::EventsSuppressed, "EventsSuppressed", "Lines of another event were dropped to bound the log volume or because nobody reads the log; `lines` counts the events in them." },
        EventInfo { EventId::ConnectionBoundReached, "ConnectionBoundReached", "In the last second requests to workers waited for a connection (`delayed`), found none in time (`unsent`) or new connections were refused (`refused`); open connections by kind, with their bounds." },
        EventInfo { EventId::RequestRouted, "RequestRouted", "An interactive request was sent to a backend server; `reason` says why that server was chosen." },
        EventInfo { EventId::RequestAnswered, "RequestAnswered", "A backend server's whole answer was passed to the caller." },
        EventInfo { EventId::RequestRefused, "RequestRefused", "An interactive request was refused; `ran` says whether it may have run." },
        EventInfo { EventId::RequestRetried, "RequestRetried", "A request is tried again after a failed attempt, on another backend server when one has a free slot." },
        EventInfo { EventId::BackendServerJoined, "BackendServerJoined", "A backend server announced itself." },
        EventInfo { EventId::BackendServerLeft, "BackendServerLeft", "A backend server left or its announcement expired." },
        EventInfo { EventId::BackendServerEjected, "BackendServerEjected", "A failing backend server gets no requests except probes." },
        EventInfo { EventId::BackendServerReadmitted, "BackendServerReadmitted", "A probe of an ejected backend server succeeded; the server gets requests again." },
        EventInfo { EventId::RequestHedged, "RequestHedged", "A second copy of a slow repeatable request was sent." },
        EventInfo { EventId::SharesChanged, "SharesChanged", "This host's share of a backend server's slots changed." },
        EventInfo { EventId::ClaimDecided, "ClaimDecided", "The claim of an idempotency key was decided; `outcome` says how." },
        EventInfo { EventId::CallForwarded, "CallForwarded", "A call was passed to the leader and answered; `status` is what the caller got." },
        EventInfo { EventId::CallRefused, "CallRefused", "A call was answered with an error; `status` is what the caller got." },
        EventInfo { EventId::RefusalWithheld, "RefusalWithheld", "The leader refused a call of which an earlier attempt may have been carried out; the caller got code 306." },
        EventInfo { EventId::TaskSubmitted, "TaskSubmitted", "A task was accepted and is on disk." },
        EventInfo { EventId::TaskPlaced, "TaskPlaced", "A worker was chosen for a task; `reason` says why that worker." },
        EventInfo { EventId::TaskWaits, "TaskWaits", "A task stays queued; `reason` says what it waits for." },
        EventInfo { EventId::AttemptStarted, "AttemptStarted", "A worker reported that it runs the attempt." },
        EventInfo { EventId::AttemptEnded, "AttemptEnded", "An attempt ended; `outcome` says how, and `effect` what that changed for its task, stage, occurrence and job (`attemptOver`: nothing; `ignored`: the attempt had ended before)." },
        EventInfo { EventId::TaskCancelled, "TaskCancelled", "A task was cancelled." },
        EventInfo { EventId::WorkerJoined, "WorkerJoined", "A worker announced itself." },
        EventInfo { EventId::WorkerLost, "WorkerLost", "A worker's lease and drift margin passed; its attempts count as ended." },
        EventInfo { EventId::EvictionRequested, "EvictionRequested", "A running attempt is asked to checkpoint and stop." },
        EventInfo { EventId::WorkerQuarantined, "WorkerQuarantined", "A worker on which attempts failed gets no new tasks except probes." },
        EventInfo { EventId::WorkerReadmitted, "WorkerReadmitted", "A quarantined worker finished a probe." },
        EventInfo { EventId::AttemptRefused, "AttemptRefused", "A worker did not accept the start of an attempt (`result` says why), or it reported an attempt that is not current and is ordered to stop it." },
        EventInfo { EventId::TaskUnplaceable, "TaskUnplaceable", "No worker could run the task even when empty." },
        EventInfo { EventId::WorkerThrottled, "WorkerThrottled", "The speed limit of the best-effort attempts on a worker changed from `before` to `percent` percent of full speed." },
        EventInfo { EventId::TaskHandedOver, "TaskHandedOver", "A queued task moved to another data centre." },
        EventInfo { EventId::EndedTasksRemoved, "EndedTasksRemoved", "Records of tasks that ended long ago were removed; their ids stay refused for a time." },
        EventInfo { EventId::AttemptWithdrawn, "AttemptWithdrawn", "An attempt that its worker never confirmed gets no further start commands." },
        EventInfo { EventId::JobAccepted, "JobAccepted", "A job was committed; `configuration` is the version that named its queue, `coreMs` its estimated work." },
        EventInfo { EventId::JobRefused, "JobRefused", "A job was not accepted; `reason` or `code` says why." },
        EventInfo { EventId::JobEnded, "JobEnded", "A job completed, failed or was cancelled; `lastedMs` counts from its acceptance, `occurrencesOpened` those of its `occurrences` that fell due. `passedByLaterJobs` and `passedByLowerRank` count the starts of other jobs while its tasks found no worker, `starts` those of its own, all under this leader." },
        EventInfo { EventId::WorkerReached, "WorkerReached", "A silent worker answers again." },
        EventInfo { EventId::WorkerSilent, "WorkerSilent", "A worker did not answer the renewal of its lease; it gets no new tasks." },
        EventInfo { EventId::WorkerSuperseded, "WorkerSuperseded", "A worker has seen a higher epoch; this leader sends it no more orders." },
        EventInfo { EventId::StrayAttempt, "StrayAttempt", "A worker lists an orphaned attempt, one that no committed record accounts for; it is stopped. `state` is its job's, `lastAttempt` the latest committed attempt of its task (0: none, or the records of an ended job's tasks are gone)." },
        EventInfo { EventId::OrderFailed, "OrderFailed", "An order to a worker was not confirmed; it is sent again." },
        EventInfo { EventId::JobCancelled, "JobCancelled", "A cancellation was committed." },
        EventInfo { EventId::AttemptConcluded, "AttemptConcluded", "An attempt counts as ended although its worker did not list the end; `reason` says why. `promiseAgeMs` counts from the last order of this leader that extended the lease, or from its take-over; `inherited` 1: committed by an earlier leader or for a former process of the worker; `formerOrdersLeaseMs` is what was left (negative: the time since the end) of the lease that orders for a former process may have extended; `formerOrders` 1: they may still arrive." },
        EventInfo { EventId::RoomReported, "RoomReported", "Tasks find no worker: the free cores, what service tasks that have run before wait for (`waitingRestartMilliCores`), and how many tasks of 1, 2, 4 and 8 cores would fit now (`placesN`) and beside service tasks only (`placesBesideServicesN`)." },
        EventInfo { EventId::LoadReported, "LoadReported", "The leader's load in the last second, while tasks wait or it is late: passes, starts, workers examined, the longest time between two ticks (`maxTickGapMs`) and pass (`maxPassMs`), waiting tasks and the age of the oldest by class." },
        EventInfo { EventId::WorkerDeregistered, "WorkerDeregistered", "A worker said that it ends; `outcome` says whether it is removed, and why not." },
        EventInfo { EventId::CancelAnswered, "CancelAnswered", "The leader answered a cancel; `state` is the job's when the cancel arrived, `outcome` what the caller is told, `ageMs` the time since the job was accepted." },
        EventInfo { EventId::StopRepeated, "StopRepeated", "A stop order was not confirmed and is sent again, by the `way`; `lastResult` says how the one before ended, `ageMs` counts from the first." },
        EventInfo { EventId::LeaseWithheld, "LeaseWithheld", "A worker confirms no stop of an attempt that may run there: its lease is not extended and it gets no tasks (`withheld` 1) until it does, or the attempt is gone (`withheld` 0); `ageMs` counts from the oldest such stop." },
        EventInfo { EventId::WorkerProcessReplaced, "WorkerProcessReplaced", "The leader learned, from the `source`, that a worker was started again under its id. `leaseOrderAgeMs` counts from the last order that extended the lease of its former process, whose clock shows `formerClockMs`: one sent after `bornMs` may have reached the new process. `openStarts`: start orders without an answer. `formerBornMs`: of the process that listed last, 0 if unknown. Orders carry `epoch` from now on; the lease counts as held for `formerOrdersLeaseMs` more. `bornMs` is that of the former process when the `source` is `clock` or `start`." },
        EventInfo { EventId::RelayedStartExecuted, "RelayedStartExecuted", "A relay sent a start of the `leader` (the `identity` in its 100 line) to a worker and has its answer, or gave it up (`expired` 1: it arrived too late and was not sent). `processBornMs` names the process that it is meant for, `leaseUntilMs` is on that process's clock, `clockMs` the clock of the process that answered, `epoch` rises with each process of the worker." },
        EventInfo { EventId::RelayedStopExecuted, "RelayedStopExecuted", "A relay sent a stop of the `leader` to a worker and has its answer, or gave it up; `expired` 1: it arrived late. When it arrived, this relay had sent `starts` orders to start the attempt there, the first `sinceStartMs` before; `startResult` is the latest answer (`open`: none yet, `notKnown`: no such order since this process started, or long ago)." },
        EventInfo { EventId::FormerOrdersCounted, "FormerOrdersCounted", "Orders for a former process of a worker may have extended the lease of the present one (`bornMs`): the leader counts it as held for `formerOrdersLeaseMs` more. `source`: `first answer` (the present process refuses such orders from now on), or `earlier process`: the leader knew one of the worker when it took over or the worker came back." },
        EventInfo { EventId::AttemptsInherited, "AttemptsInherited", "A new leader took over `attempts` on `workers`; orders for a former process may still reach `workersWithFormerOrders` of them. The epochs of its orders are above `epoch`." },
        EventInfo { EventId::StartByOtherProcess, "StartByOtherProcess", "A start was answered by another process of the worker than it names (`processBornMs`): its clock shows `clockMs` instead of `expectedClockMs`. With `result=accepted` that process runs the attempt, with a lease by the clock of the named one." },
        EventInfo { EventId::FurtherAttemptCommitted, "FurtherAttemptCommitted", "A control host that does not lead applied the committed start of a further attempt of a task, also one that it reads from its journal after it has started (402)." },
        EventInfo { EventId::LocalityDecided, "LocalityDecided", "A stage found no room on the rack of its data, or a gang no rack for all its members: whether it waits (`waits`), when room is expected there (`untilRoomMs`, -1: not known), what a run elsewhere takes longer (`costElsewhereMs`) and how long it has waited. Logged when the decision changes." },
        EventInfo { EventId::CopyStarted, "CopyStarted", "A task that may run twice at once gets a second attempt on `worker`: the worker of the first does not answer (`answers` 0), or the first takes much longer than other tasks of its stage (`runningMs`)." },
        EventInfo { EventId::EvacuationStarted, "EvacuationStarted", "The evacuation of a data centre was committed: this host, if it leads, starts no task there any more." },
        EventInfo { EventId::EvacuationFinished, "EvacuationFinished", "The end of an evacuation was committed: the workers of the data centre may take tasks again." },
        EventInfo { EventId::EvacuationProgress, "EvacuationProgress", "The tasks that are left in an evacuated data centre, by class; `jobsWithoutWorkers` jobs wait for workers that only evacuated data centres have, `exampleJob` among them. Every two seconds." },
        EventInfo { EventId::EvacuationRefused, "EvacuationRefused", "A call to start or finish an evacuation was not carried out: `reason`." },
        EventInfo { EventId::EvacuatedTask, "EvacuatedTask", "A committed start in an evacuated data centre was withdrawn, or a task is stopped there to run elsewhere: `outcome`." },
        EventInfo { EventId::WorkerProcessSettled, "WorkerProcessSettled", "The leader records that orders for a former process of a worker cannot take effect on the present one (`bornMs`) any more. Once for each process that came after another." },
        EventInfo { EventId::JobStopsBegun, "JobStopsBegun", "A job was cancelled, or ended otherwise while attempts of it were live; with `inherited` 1 a new leader took over such attempts. `state` is the job's now, `before` what callers were shown, `live` its first live attempts, each as occurrence.stage.index/attempt@worker:phase, of `attempts`." },
        EventInfo { EventId::JobStopsDone, "JobStopsDone", "The last attempt ended that was live when its job was cancelled or ended otherwise, `lastedMs` after that. `stops` counts the stop orders that this leader sent for such attempts." },
        EventInfo { EventId::AttemptOutlivesJob, "AttemptOutlivesJob", "An attempt is still live 2 s after its job was cancelled or ended otherwise, or a worker has listed an orphaned attempt for 2 s (`phase=stray`). What the leader did about it: stop orders (`stops`, `confirmed`, `lastResult`), `endProposed`; and what it knows of the worker: `listedMs` and `answerAgeMs` since a listing held the attempt and since the last answer (-1: never), `promiseAgeMs` since an order extended the lease. `phase=notPlaced`: its view of the worker lacks the attempt. Every two seconds." },
        EventInfo { EventId::JobSteps, "JobSteps", "The first start of a stage was answered; milliseconds of each step since the submission (`after=submission`) or the listing of the last end that it waited for (`after=end`): the commit that made it ready, the decision after it (negative: before it), the commit of the start, the order." },
        EventInfo { EventId::PermitsAnswered, "PermitsAnswered", "The policy service was asked which of `asked` workers may run a stage, the first of them `workers`, and allowed `granted` of them; `answered` 0: it was busy, unreachable or gave no valid answer. `lastedMs` is the time from the query to its answer, `waitedMs` the time before, behind other queries, `waiting` the number of stages that wait still." },
        EventInfo { EventId::PermitsExhausted, "PermitsExhausted", "Every one of the `workers` that could run a stage now was asked about, and the policy allows `permitted` of them: with 0 the stage waits for the policy, else for room on these. The others are asked about again after `pauseMs`." },
        EventInfo { EventId::JobBegan, "JobBegan", "A worker was seen to run a task of a job for the first time under this leader: it accepted the start (`source=answer`), lists the attempt (`source=listing`) or the end of one that was given up (`source=\"listed end\"`). Until then the job is shown as queued and counted as pending." },
        EventInfo { EventId::JobEndedEarly, "JobEndedEarly", "A new leader knows a job as completed of which only `opened` of its `occurrences` have begun: a host of an earlier version ended it early. Its payload is gone, so that it cannot go on; submit what is missing again." },
        EventInfo { EventId::LeaderElected, "LeaderElected", "This host leads a group." },
        EventInfo { EventId::LeaderLost, "LeaderLost", "This host no longer leads a group." },
        EventInfo { EventId::JournalOpened, "JournalOpened", "A journal was read from disk." },
        EventInfo { EventId::JournalTailCut, "JournalTailCut", "Records that were never synced, hence never acknowledged, were cut off." },
        EventInfo { EventId::StorageFault, "StorageFault", "Writing or syncing failed; the host takes no part in this group. Repeated while it lasts." },
        EventInfo { EventId::PeerConnected, "PeerConnected", "The link to another entry host is up." },
        EventInfo { EventId::PeerLost, "PeerLost", "The link to another entry host is down or silent." },
        EventInfo { EventId::MembershipChanged, "MembershipChanged", "A group's voters or learners changed, or an entry host joined or left." },
        EventInfo { EventId::SnapshotTaken, "SnapshotTaken", "A group's state was saved and its log shortened." },
        EventInfo { EventId::PeerRefused, "PeerRefused", "A peer of another cluster, an unknown host or a wrong token was refused." },
        EventInfo { EventId::AgreementMessageRefused, "AgreementMessageRefused", "A malformed message of a group was dropped." },
        EventInfo { EventId::QuorumLost, "QuorumLost", "This host led a group, lost contact with a majority of its voters and stepped down." },
        EventInfo { EventId::WitnessLeads, "WitnessLeads", "A witness leads temporarily to bring a host that may lead up to date." },
        EventInfo { EventId::LeadershipTransferred, "LeadershipTransferred", "This host stepped down in favour of the named host." },
        EventInfo { EventId::VoterReplacement, "VoterReplacement", "One step of the replacement of a lost voter is proposed." },
        EventInfo { EventId::StorageRecovered, "StorageRecovered", "The storage can be written again after a fault, and what it lacked is durable; the host takes part in this group again." },
        EventInfo { EventId::SnapshotFailed, "SnapshotFailed", "A snapshot could not be stored, or a file that it covers not be removed; it is tried again. The host goes on without it." },
        EventInfo { EventId::HostStateChanged, "HostStateChanged", "An entry host became alive, suspect, leaving or gone as observed by this host, or it restarted." },
        EventInfo { EventId::PeerAdmitted, "PeerAdmitted", "An entry host that the settings do not name was admitted by its cluster and token." },
        EventInfo { EventId::ConfigurationAccepted, "ConfigurationAccepted", "A configuration was committed." },
        EventInfo { EventId::ConfigurationRefused, "ConfigurationRefused", "A configuration change was refused; nothing was changed." },
        EventInfo { EventId::DrainChanged, "DrainChanged", "An operator drained or released a worker or host." },
        EventInfo { EventId::ConfigurationInForce, "ConfigurationInForce", "This host now uses the configuration version." },
        EventInfo { EventId::ConfigurationStoreFailed, "ConfigurationStoreFailed", "The configuration in force could not be written to or read from disk; after a restart the host requests it from its peers. Written again every second, repeated while that fails." },
        EventInfo { EventId::SettingsReloaded, "SettingsReloaded", "The settings file was read again; `changed` tells whether it differed." },
        EventInfo { EventId::SettingsRefused, "SettingsRefused", "The settings file cannot be used; the previous settings stay in force." },
        EventInfo { EventId::ConfigurationStored, "ConfigurationStored", "The configuration in force is on disk after writing it had failed." },
    };

} // namespace

Span<EventInfo const> eventTable()
{
    return { events.data(), events.size() };
}

EventInfo const& eventInfo(EventId id)
{
    for (auto const& info : events) {
        if (info.id == id)
            return info;
    }
    throw std::logic_error("event without a table row");
}

} // namespace cornelpond
