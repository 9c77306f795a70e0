#include "cornelpond/core/tasks/TaskQueue.h"

#include <algorithm>
#include <queue>
#include <vector>

namespace cornelpond {

namespace {

    /// A waiting task's priority rises by one per interval.
    constexpr Duration ageingInterval = Duration::minutes(1);

    /// A lane's rank in a pass; the greatest is offered next.
    struct LaneRank {
        int64_t priority = 0; ///< Includes the rise with waiting time.
        double weightedShare = 0;
        uint64_t sequence = 0;
        size_t lane = 0;

        bool operator<(LaneRank const& other) const
        {
            if (this->priority != other.priority)
                return this->priority < other.priority;
            if (this->weightedShare != other.weightedShare)
                return this->weightedShare > other.weightedShare;
            return this->sequence > other.sequence;
        }
    };

    using RankedLanes = std::priority_queue<LaneRank>;

} // namespace

void TaskQueue::add(Task const& task, int64_t priority, TimePoint since)
{
    this->remove(task.spec.id);
    Resources const& need = task.spec.resources;
    LaneKey const key { task.spec.taskClass, priority, task.spec.association, Shape { need.milliCores, need.memoryMiB, need.accelerators, task.spec.workers.text() } };
    this->lanes[key].emplace(task.sequence, WaitingTask { task.spec.id, since });
    this->positions.emplace(task.spec.id, QueuePosition { key, task.sequence });
}

void TaskQueue::remove(TaskId const& id)
{
    auto const position = this->positions.find(id);
    if (position == this->positions.end())
        return;
    auto const lane = this->lanes.find(position->second.lane);
    lane->second.erase(position->second.sequence);
    if (lane->second.empty())
        this->lanes.erase(lane);
    this->positions.erase(position);
}

TimePoint TaskQueue::waitingSince(TaskId const& id, TimePoint fallback) const
{
    auto const position = this->positions.find(id);
    if (position == this->positions.end())
        return fallback;
    return this->lanes.at(position->second.lane).at(position->second.sequence).since;
}

void TaskQueue::clear()
{
    this->lanes.clear();
    this->positions.clear();
}

void TaskQueue::offerTasks(PassOptions const& pass, Offer const& offer) const
{
    struct Cursor {
        LaneKey const* key;
        Lane::const_iterator next, end;
    };
    std::vector<Cursor> cursors;
    RankedLanes latencyCritical;
    RankedLanes batch;
    auto const rankLane = [&](size_t lane) {
        Cursor const& cursor = cursors[lane];
        if (cursor.next == cursor.end)
            return;
        int64_t const ageing = (pass.now - cursor.next->second.since).toMicroseconds() / ageingInterval.toMicroseconds();
        bool const isBatch = std::get<TaskClass>(*cursor.key) == TaskClass::Batch;
        LaneRank const rank { std::get<1>(*cursor.key) + ageing, pass.weightedShareOf(std::get<AssociationId>(*cursor.key)), cursor.next->first, lane };
        (isBatch ? batch : latencyCritical).push(rank);
    };
    cursors.reserve(this->lanes.size());
    for (auto const& [key, lane] : this->lanes) {
        cursors.push_back({ &key, lane.begin(), lane.end() });
        rankLane(cursors.size() - 1);
    }
    for (size_t offers = 1; offers <= pass.maxOffers && !(latencyCritical.empty() && batch.empty()); offers++) {
        bool const isBatchOffer = pass.batchOfferInterval && offers % pass.batchOfferInterval == 0 && !batch.empty();
        RankedLanes& ranked = isBatchOffer || latencyCritical.empty() ? batch : latencyCritical;
        size_t const lane = ranked.top().lane;
        ranked.pop();
        OfferResult const result = offer(cursors[lane].next->second.id);
        if (result == OfferResult::Blocked)
            continue;
        ++cursors[lane].next;
        rankLane(lane);
    }
}

} // namespace cornelpond
