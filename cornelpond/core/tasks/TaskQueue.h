#pragma once

// The order in which queued tasks are offered to placement.
//
// Tasks of one class, priority, association and shape (resources and worker selector) share a lane, in
// order of submission. A pass offers the first task of the best lane: latency-critical tasks go first,
// then the highest priority, which rises while the task waits, then the association with the smallest
// share relative to its weight, then the earliest submission. When a lane's first task does not fit, no
// other task of the lane fits either. So a pass makes one offer for each task started or skipped and at
// most one more for each lane, whatever the queue's length.
//
// Example:
//   queue.add(task, priority, clock.now());
//   queue.offerTasks(pass, [&](TaskId const& id) { return this->tryToPlace(id); });
//
// Loop thread only.

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/tasks/Task.h"

#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>

namespace cornelpond {

/// The outcome of one offer.
enum class OfferResult : uint8_t {
    Placed = 0,
    Skipped = 1, ///< This task cannot start now, but others of its lane may.
    Blocked = 2, ///< No task of this lane can start now.
};

class TaskQueue {
public:
    /// The inputs of one pass.
    struct PassOptions {
        TimePoint now;
        size_t maxOffers = 0;
        /// Every batchOfferInterval-th offer goes to a batch task even when latency-critical tasks wait;
        /// 0 for never.
        size_t batchOfferInterval = 0;
        /// The association's present share of the workers' total capacity divided by its weight.
        std::function<double(AssociationId const&)> weightedShareOf;
    };
    using Offer = std::function<OfferResult(TaskId const& id)>;

    /// Adds the task, or replaces it when it is queued. Its priority rises with the time since `since`.
    void add(Task const& task, int64_t priority, TimePoint since);
    void remove(TaskId const& id);
    void clear();

    bool contains(TaskId const& id) const { return this->positions.count(id); }
    /// When the task began to wait; `fallback` when it is not queued.
    TimePoint waitingSince(TaskId const& id, TimePoint fallback) const;
    size_t size() const { return this->positions.size(); }
    size_t laneCount() const { return this->lanes.size(); }

    /// Offers tasks until every lane is blocked or empty, or maxOffers is reached. `offer` must not change
    /// the queue; a task that it places stays queued until it is removed.
    void offerTasks(PassOptions const& pass, Offer const& offer) const;

private:
    using Shape = std::tuple<int64_t, int64_t, int64_t, std::string>;
    using LaneKey = std::tuple<TaskClass, int64_t, AssociationId, Shape>;
    struct WaitingTask {
        TaskId id;
        TimePoint since;
    };
    using Lane = std::map<uint64_t, WaitingTask>; ///< By submission sequence.
    struct QueuePosition {
        LaneKey lane;
        uint64_t sequence = 0;
    };

    std::map<LaneKey, Lane> lanes;
    std::unordered_map<TaskId, QueuePosition> positions;
};

} // namespace cornelpond
