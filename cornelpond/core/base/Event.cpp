#include "cornelpond/core/base/Event.h"

#include <array>
#include <stdexcept>

namespace cornelpond {

namespace {

    constexpr std::array events = {
        EventInfo { EventId::HostStarted, "HostStarted", "The entry host serves." },
        EventInfo { EventId::HostStopping, "HostStopping", "A graceful shutdown began; nothing new is accepted." },
        EventInfo { EventId::HostStopped, "HostStopped", "The process exits; `cut` counts requests that were cut off." },
        EventInfo { EventId::ListenerOpened, "ListenerOpened", "A listener accepts connections." },
        EventInfo { EventId::InputRefused, "InputRefused", "A request was refused for bad input; nothing was changed." },
        EventInfo { EventId::InternalFault, "InternalFault", "An unexpected error was caught; the process serves on." },
        EventInfo { EventId::EventsSuppressed, "EventsSuppressed", "So many lines of an event were dropped to bound the volume, or because nobody reads the log." },
        EventInfo { EventId::RequestRouted, "RequestRouted", "An interactive request was sent to a backend server; `reason` says why that one." },
        EventInfo { EventId::RequestAnswered, "RequestAnswered", "A backend server's whole answer was passed to the caller." },
        EventInfo { EventId::RequestRefused, "RequestRefused", "An interactive request was refused; `ran` says whether it may have run." },
        EventInfo { EventId::RequestRetried, "RequestRetried", "A repeatable request is tried again on another backend server." },
        EventInfo { EventId::BackendServerJoined, "BackendServerJoined", "A backend server announced itself." },
        EventInfo { EventId::BackendServerLeft, "BackendServerLeft", "A backend server left or its announcement expired." },
        EventInfo { EventId::BackendServerEjected, "BackendServerEjected", "A failing backend server gets no requests but probes." },
        EventInfo { EventId::BackendServerReadmitted, "BackendServerReadmitted", "A probe succeeded; the backend server gets requests again." },
        EventInfo { EventId::RequestHedged, "RequestHedged", "A second copy of a slow repeatable request was sent." },
        EventInfo { EventId::SharesChanged, "SharesChanged", "This host's share of a backend server's slots changed." },
        EventInfo { EventId::ClaimDecided, "ClaimDecided", "The claim of an idempotency key was granted or answered." },
        EventInfo { EventId::CallForwarded, "CallForwarded", "A call was passed to the leader and answered; `status` is what the caller got." },
        EventInfo { EventId::CallRefused, "CallRefused", "A call found no leader or no answer in time; `reason` says which." },
        EventInfo { EventId::TaskSubmitted, "TaskSubmitted", "A task was accepted and is on disk." },
        EventInfo { EventId::TaskPlaced, "TaskPlaced", "A worker was chosen for a task; `reason` says why that one." },
        EventInfo { EventId::TaskWaits, "TaskWaits", "A task stays queued; `reason` says what it waits for." },
        EventInfo { EventId::AttemptStarted, "AttemptStarted", "A worker reported that it runs the attempt." },
        EventInfo { EventId::AttemptEnded, "AttemptEnded", "An attempt ended; `outcome` says how." },
        EventInfo { EventId::TaskCancelled, "TaskCancelled", "A task was cancelled." },
        EventInfo { EventId::WorkerJoined, "WorkerJoined", "A worker announced itself." },
        EventInfo { EventId::WorkerLost, "WorkerLost", "A worker's lease and drift margin passed; its attempts count as ended." },
        EventInfo { EventId::EvictionRequested, "EvictionRequested", "A running attempt is asked to checkpoint and stop." },
        EventInfo { EventId::WorkerQuarantined, "WorkerQuarantined", "A worker that fails what it starts gets no new tasks but probes." },
        EventInfo { EventId::WorkerReadmitted, "WorkerReadmitted", "A quarantined worker finished a probe." },
        EventInfo { EventId::AttemptRefused, "AttemptRefused", "A worker reported an attempt that is not in force; it is told to stop it." },
        EventInfo { EventId::TaskUnplaceable, "TaskUnplaceable", "No worker could run the task even when empty." },
        EventInfo { EventId::WorkerThrottled, "WorkerThrottled", "A batch attempt on a shared worker is slowed down or released." },
        EventInfo { EventId::TaskHandedOver, "TaskHandedOver", "A queued task moved to another data centre." },
        EventInfo { EventId::EndedTasksRemoved, "EndedTasksRemoved", "Records of tasks that ended long ago were removed; their ids stay refused for a time." },
        EventInfo { EventId::AttemptWithdrawn, "AttemptWithdrawn", "An attempt that its worker never confirmed gets no further start commands." },
        EventInfo { EventId::JobAccepted, "JobAccepted", "A job was committed; `configuration` is the version that named its queue." },
        EventInfo { EventId::JobRefused, "JobRefused", "A job was not accepted; `reason` or `code` says why." },
        EventInfo { EventId::JobEnded, "JobEnded", "A job completed, failed or was cancelled; `lastedMs` counts from its acceptance." },
        EventInfo { EventId::WorkerReached, "WorkerReached", "A silent worker answers again." },
        EventInfo { EventId::WorkerSilent, "WorkerSilent", "A worker did not answer the renewal of its lease; it gets no new tasks." },
        EventInfo { EventId::WorkerSuperseded, "WorkerSuperseded", "A worker knows a higher epoch; this leader gives it no more orders." },
        EventInfo { EventId::StrayAttempt, "StrayAttempt", "A worker lists an attempt that is not in force; it is stopped." },
        EventInfo { EventId::OrderFailed, "OrderFailed", "An order to a worker was not confirmed; it is sent again." },
        EventInfo { EventId::JobCancelled, "JobCancelled", "A cancellation was committed." },
        EventInfo { EventId::AttemptConcluded, "AttemptConcluded", "An attempt counts as ended though its worker did not list its end; `reason` says by what." },
        EventInfo { EventId::LeaderElected, "LeaderElected", "This host leads a group." },
        EventInfo { EventId::LeaderLost, "LeaderLost", "This host no longer leads a group." },
        EventInfo { EventId::JournalOpened, "JournalOpened", "A journal was read from disk." },
        EventInfo { EventId::JournalTailCut, "JournalTailCut", "An incomplete last record, never acknowledged, was cut off." },
        EventInfo { EventId::StorageFault, "StorageFault", "Writing or syncing failed; the host acknowledges nothing more from this group." },
        EventInfo { EventId::PeerConnected, "PeerConnected", "The link to another entry host is up." },
        EventInfo { EventId::PeerLost, "PeerLost", "The link to another entry host is down or silent." },
        EventInfo { EventId::MembershipChanged, "MembershipChanged", "A group's voters or learners changed, or an entry host joined or left." },
        EventInfo { EventId::SnapshotTaken, "SnapshotTaken", "A group's state was saved and its log shortened." },
        EventInfo { EventId::PeerRefused, "PeerRefused", "A peer of another cluster, an unknown host or a wrong token was refused." },
        EventInfo { EventId::AgreementMessageRefused, "AgreementMessageRefused", "A malformed message of a group was dropped." },
        EventInfo { EventId::QuorumLost, "QuorumLost", "This host led a group, lost contact with a majority of its voters and stepped down." },
        EventInfo { EventId::WitnessLeads, "WitnessLeads", "A witness leads for a moment to bring a host that may lead up to date." },
        EventInfo { EventId::LeadershipTransferred, "LeadershipTransferred", "This host stepped down in favour of the named one." },
        EventInfo { EventId::VoterReplacement, "VoterReplacement", "One step of the replacement of a lost voter is proposed." },
        EventInfo { EventId::HostStateChanged, "HostStateChanged", "An entry host became alive, suspect, leaving or gone as this host sees it, or restarted." },
        EventInfo { EventId::PeerAdmitted, "PeerAdmitted", "An entry host that no setting names was admitted by cluster and token." },
        EventInfo { EventId::ConfigurationAccepted, "ConfigurationAccepted", "A configuration was committed." },
        EventInfo { EventId::ConfigurationRefused, "ConfigurationRefused", "A configuration change was refused; nothing was changed." },
        EventInfo { EventId::DrainChanged, "DrainChanged", "An operator drained or released a worker or host." },
        EventInfo { EventId::ConfigurationInForce, "ConfigurationInForce", "This host now serves by the configuration version." },
        EventInfo { EventId::ConfigurationStoreFailed, "ConfigurationStoreFailed", "The version in force could not be kept on or read from disk; a restart asks the peers for it." },
        EventInfo { EventId::SettingsReloaded, "SettingsReloaded", "The settings file was read again; `changed` tells whether it differed." },
        EventInfo { EventId::SettingsRefused, "SettingsRefused", "The settings file cannot be used; the former settings stay in force." },
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
