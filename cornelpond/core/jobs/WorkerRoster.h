#pragma once

// The workers that announced themselves: replicated state, so that a new leader can contact them at once.
//
// Example:
//   WorkerRoster roster(hooks);
//   roster.apply(decodeRosterCommand(bytes));
//   roster.find(WorkerId("w-17"))->address;
//
// A worker may come back under its old id without any of its earlier state: `bornMs` tells its incarnations apart. An order for its
// former incarnation may still reach the new one, until the leader records that none can take effect there any more.

#include "cornelpond/core/jobs/JobSpec.h"

#include <functional>
#include <map>
#include <set>
#include <variant>

namespace cornelpond {

/// What one incarnation of a worker announces about itself.
struct WorkerProfile {
    WorkerId id;
    int64_t bornMs = 0; ///< Start of this incarnation, milliseconds since the Unix epoch; 0: not given.
    ServiceId service;
    DataCentreId dataCentre;
    std::string address; ///< "IP:PORT", where it takes orders.
    RackId rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool isDraining = false; ///< Once set, it stays set for this incarnation.

    bool operator==(WorkerProfile const& other) const;
    bool operator!=(WorkerProfile const& other) const { return !(*this == other); }
};

/// Adds a worker or replaces its profile, unless the stored profile is of a later incarnation.
struct PutWorker {
    WorkerProfile profile;
};

/// Removes a worker on which nothing can be running any more.
struct RemoveWorker {
    WorkerId id;
    int64_t bornMs = 0; ///< Of the incarnation that is over; a later one is not removed.
};

/// Records that no order for a former incarnation can take effect on this one any more. Without effect on another incarnation.
struct SettleWorker {
    WorkerId id;
    int64_t bornMs = 0;
};

using RosterCommand = std::variant<PutWorker, RemoveWorker, SettleWorker>;

std::string encodeRosterCommand(RosterCommand const& command);

/// Throws Error(MalformedMessage).
RosterCommand decodeRosterCommand(std::string_view bytes);

struct RosterHooks {
    /// `isOtherProcess`: the stored profile was of another incarnation of the worker.
    std::function<void(WorkerProfile const&, bool isOtherProcess)> onWorkerChanged;
    std::function<void(WorkerId const&)> onWorkerRemoved;
    std::function<void(WorkerId const&)> onWorkerSettled;
    /// Called by restore(), for each worker whose present incarnation is not settled.
    std::function<void(WorkerId const&)> onUnsettledRestored;
};

class WorkerRoster {
public:
    explicit WorkerRoster(RosterHooks hooks = RosterHooks());

    void apply(RosterCommand const& command);

    std::string takeSnapshot() const;

    /// Throws Error(MalformedMessage).
    void restore(std::string const& snapshot);

    WorkerProfile const* find(WorkerId const& id) const;

    /// False from the worker's return as another incarnation until SettleWorker.
    bool isSettled(WorkerId const& id) const { return !this->unsettled.count(id); }

    std::map<WorkerId, WorkerProfile> const& all() const { return this->workers; }

private:
    void apply(PutWorker const& command);
    void apply(RemoveWorker const& command);
    void apply(SettleWorker const& command);

    RosterHooks hooks;
    std::map<WorkerId, WorkerProfile> workers;
    std::set<WorkerId> unsettled;
};

} // namespace cornelpond
