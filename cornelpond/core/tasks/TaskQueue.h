#pragma once

// The order in which queued tasks are offered to placement.
//
// Tasks of one class, priority, association and shape (resources and selector) stand in one lane, in
// order of submission. A pass offers the best lane's head: latency-critical first, then the highest
// priority, which rises while the head waits, then the association with the smallest share of its
// weight. When the head does not fit, nothing else of its lane fits either, so a pass costs one offer
// for each start and one for each lane, whatever the queue's length.
//
// Example:
//   queue.add(task, priority, clock.now());
//   queue.offer(pass, [&](TaskId const& id) { return this->tryToPlace(id); });
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

/// What became of one offer.
enum class OfferResult : uint8_t {
    Placed = 0,
    Skipped = 1, ///< This task may not start now; others of its lane may.
    Blocked = 2, ///< No task of this lane can start now.
};

class TaskQueue {
public:
    /// What one pass goes by.
    struct PassOptions {
        TimePoint now;
        size_t maxOffers = 0;
        /// Every so many offers goes to batch work even when latency-critical tasks wait; 0 for never.
        size_t batchOfferInterval = 0;
        /// The association's present share of the fleet divided by its weight.
        std::function<double(AssociationId const&)> weightedShareOf;
    };
    using Offer = std::function<OfferResult(TaskId const& id)>;

    /// Replaces an entry of the same id.
    void add(Task const& task, int64_t priority, TimePoint since);
    void remove(TaskId const& id);
    void clear();

    bool contains(TaskId const& id) const { return this->positions.count(id); }
    /// When the task began to wait; `fallback` when it is not queued.
    TimePoint waitingSince(TaskId const& id, TimePoint fallback) const;
    size_t size() const { return this->positions.size(); }
    size_t laneCount() const { return this->lanes.size(); }

    /// Offers tasks until none can start or the bound is reached. `offer` must not change the queue.
    void offerTasks(PassOptions const& pass, Offer const& offer) const;

private:
    using Shape = std::tuple<int64_t, int64_t, int64_t, std::string>;
    using LaneKey = std::tuple<TaskClass, int64_t, AssociationId, Shape>;
    struct WaitingTask {
        TaskId id;
        TimePoint since;
    };
    using Lane = std::map<uint64_t, WaitingTask>;
    struct QueuePosition {
        LaneKey lane;
        uint64_t sequence = 0;
    };

    std::map<LaneKey, Lane> lanes;
    std::unordered_map<TaskId, QueuePosition> positions;
};

} // namespace cornelpond
