#pragma once

// Numbered log events. docs/EVENTS.md lists them; a test compares that page with the table.
//
// Example:
//   sink.emit(Event(EventId::TaskPlaced).with("task", id).with("worker", worker).with("reason", "least loaded"));

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Span.h"

#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace cornelpond {

/// Numbers never change meaning; a retired one is not reused.
/// 1xx process, 2xx routing and admission, 3xx tasks and placement, 4xx agreement, membership and storage,
/// 5xx configuration and operators.
enum class EventId {
    HostStarted = 100,
    HostStopping = 101,
    HostStopped = 102,
    ListenerOpened = 103,
    InputRefused = 104,
    InternalFault = 105,
    EventsSuppressed = 106,
    ConnectionBoundReached = 107,
    RequestRouted = 200,
    RequestAnswered = 201,
    RequestRefused = 202,
    RequestRetried = 203,
    BackendServerJoined = 204,
    BackendServerLeft = 205,
    BackendServerEjected = 206,
    BackendServerReadmitted = 207,
    RequestHedged = 208,
    SharesChanged = 209,
    ClaimDecided = 210,
    CallForwarded = 211,
    CallRefused = 212,
    RefusalWithheld = 213,
    TaskSubmitted = 300,
    TaskPlaced = 301,
    TaskWaits = 302,
    AttemptStarted = 303,
    AttemptEnded = 304,
    TaskCancelled = 305,
    WorkerJoined = 306,
    WorkerLost = 307,
    EvictionRequested = 308,
    WorkerQuarantined = 309,
    WorkerReadmitted = 310,
    AttemptRefused = 311,
    TaskUnplaceable = 312,
    WorkerThrottled = 313,
    TaskHandedOver = 314,
    EndedTasksRemoved = 320,
    AttemptWithdrawn = 321,
    JobAccepted = 330,
    JobRefused = 331,
    JobEnded = 332,
    WorkerReached = 333,
    WorkerSilent = 334,
    WorkerSuperseded = 335,
    StrayAttempt = 336,
    OrderFailed = 337,
    JobCancelled = 338,
    AttemptConcluded = 339,
    RoomReported = 340,
    LoadReported = 341,
    WorkerDeregistered = 342,
    CancelAnswered = 343,
    StopRepeated = 344,
    LeaseWithheld = 345,
    WorkerProcessReplaced = 346,
    RelayedStartExecuted = 347,
    RelayedStopExecuted = 348,
    FormerOrdersCounted = 349,
    AttemptsInherited = 350,
    StartByOtherProcess = 351,
    FurtherAttemptCommitted = 352,
    LocalityDecided = 380,
    CopyStarted = 381,
    EvacuationStarted = 360,
    EvacuationFinished = 361,
    EvacuationProgress = 362,
    EvacuationRefused = 363,
    EvacuatedTask = 364,
    WorkerProcessSettled = 353,
    JobStopsBegun = 354,
    JobStopsDone = 355,
    AttemptOutlivesJob = 356,
    JobSteps = 365,
    PermitsAnswered = 366,
    PermitsExhausted = 367,
    JobBegan = 368,
    JobEndedEarly = 369,
    LeaderElected = 400,
    LeaderLost = 401,
    JournalOpened = 402,
    JournalTailCut = 403,
    StorageFault = 404,
    PeerConnected = 405,
    PeerLost = 406,
    MembershipChanged = 407,
    SnapshotTaken = 408,
    PeerRefused = 409,
    AgreementMessageRefused = 410,
    QuorumLost = 411,
    WitnessLeads = 412,
    LeadershipTransferred = 413,
    VoterReplacement = 414,
    StorageRecovered = 415,
    SnapshotFailed = 416,
    HostStateChanged = 430,
    PeerAdmitted = 431,
    ConfigurationAccepted = 500,
    ConfigurationRefused = 501,
    DrainChanged = 502,
    ConfigurationInForce = 503,
    ConfigurationStoreFailed = 504,
    SettingsReloaded = 505,
    SettingsRefused = 506,
    ConfigurationStored = 507,
};

/// One row of the event table.
struct EventInfo {
    EventId id;
    std::string_view name;
    std::string_view meaning;
};

/// All events by increasing number.
Span<EventInfo const> eventTable();

/// The row of `id`. Every enumerator has one.
EventInfo const& eventInfo(EventId id);

/// One key=value field of a log line. Keys are lowerCamelCase literals.
struct EventField {
    std::string_view key;
    std::string value;
    bool isNumber = false; ///< Logged as a number; a key always has the same type.
};

/// A log event before it is formatted as a line.
class Event {
public:
    explicit Event(EventId id)
        : eventId(id)
    {
    }

    Event& with(std::string_view key, std::string value)
    {
        this->eventFields.push_back({ key, std::move(value), false });
        return *this;
    }

    template <typename Tag>
    Event& with(std::string_view key, TextId<Tag> const& id)
    {
        return this->with(key, id.value());
    }

    template <typename Tag>
    Event& with(std::string_view key, NumberId<Tag> id)
    {
        return this->withNumber(key, std::to_string(id.value()));
    }

    /// Durations are logged in whole milliseconds; the key should end in `Ms`, as in "waitMs".
    Event& with(std::string_view key, Duration span) { return this->withNumber(key, std::to_string(span.toMilliseconds())); }

    template <typename Number, std::enable_if_t<std::is_arithmetic_v<Number>, int> = 0>
    Event& with(std::string_view key, Number number)
    {
        return this->withNumber(key, std::to_string(number));
    }

    EventId id() const { return this->eventId; }
    std::vector<EventField> const& fields() const { return this->eventFields; }

private:
    Event& withNumber(std::string_view key, std::string digits)
    {
        this->eventFields.push_back({ key, std::move(digits), true });
        return *this;
    }

    EventId eventId;
    std::vector<EventField> eventFields;
};

} // namespace cornelpond
