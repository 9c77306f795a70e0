#include "cornelpond/core/tasks/TaskQueue.h"

#include <algorithm>
#include <queue>
#include <vector>

namespace cornelpond {

namespace {

    /// A waiting task's priority rises by one for each so long wait.
    constexpr Duration ageingStep = Duration::minutes(1);

    /// A lane's turn; greater goes first.
    struct Turn {
        int64_t priority = 0; ///< Ageing included.
        double share = 0;
        uint64_t sequence = 0;
        size_t lane = 0;

        bool operator<(Turn const& other) const
        {
            if (this->priority != other.priority)
                return this->priority < other.priority;
            if (this->share != other.share)
                return this->share > other.share;
            return this->sequence > other.sequence;
        }
    };

    using Turns = std::priority_queue<Turn>;

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
    auto const place = this->positions.find(id);
    if (place == this->positions.end())
        return;
    auto const lane = this->lanes.find(place->second.lane);
    lane->second.erase(place->second.sequence);
    if (lane->second.empty())
        this->lanes.erase(lane);
    this->positions.erase(place);
}

TimePoint TaskQueue::waitingSince(TaskId const& id, TimePoint fallback) const
{
    auto const place = this->positions.find(id);
    if (place == this->positions.end())
        return fallback;
    return this->lanes.at(place->second.lane).at(place->second.sequence).since;
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
    Turns urgent;
    Turns batch;
    auto const enqueue = [&](size_t lane) {
        Cursor const& cursor = cursors[lane];
        if (cursor.next == cursor.end)
            return;
        int64_t const aged = (pass.now - cursor.next->second.since).toMicroseconds() / ageingStep.toMicroseconds();
        bool const isBatch = std::get<TaskClass>(*cursor.key) == TaskClass::Batch;
        Turn const turn { std::get<1>(*cursor.key) + aged, pass.weightedShareOf(std::get<AssociationId>(*cursor.key)), cursor.next->first, lane };
        (isBatch ? batch : urgent).push(turn);
    };
    cursors.reserve(this->lanes.size());
    for (auto const& [key, lane] : this->lanes) {
        cursors.push_back({ &key, lane.begin(), lane.end() });
        enqueue(cursors.size() - 1);
    }
    for (size_t offers = 1; offers <= pass.maxOffers && !(urgent.empty() && batch.empty()); offers++) {
        bool const batchTurn = pass.batchOfferInterval && offers % pass.batchOfferInterval == 0 && !batch.empty();
        Turns& turns = batchTurn || urgent.empty() ? batch : urgent;
        size_t const lane = turns.top().lane;
        turns.pop();
        OfferResult const result = offer(cursors[lane].next->second.id);
        if (result == OfferResult::Blocked)
            continue;
        ++cursors[lane].next;
        enqueue(lane);
    }
}

} // namespace cornelpond
