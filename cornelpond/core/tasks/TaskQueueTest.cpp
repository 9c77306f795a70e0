#include "cornelpond/core/tasks/TaskQueue.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace cornelpond;

namespace {

Task makeTask(uint64_t sequence, std::string const& association, TaskClass taskClass = TaskClass::Batch, int64_t milliCores = 1000)
{
    Task task;
    task.sequence = sequence;
    task.spec.id = TaskId("t" + std::to_string(sequence));
    task.spec.association = AssociationId(association);
    task.spec.taskClass = taskClass;
    task.spec.resources = { milliCores, 100, 0 };
    return task;
}

std::vector<std::string> offerAll(TaskQueue const& queue, TaskQueue::PassOptions pass, std::map<std::string, double>& shares)
{
    std::vector<std::string> offered;
    pass.maxOffers = 1000;
    pass.weightedShareOf = [&](AssociationId const& association) { return shares[association.value()]; };
    queue.offerTasks(pass, [&](TaskId const& id) {
        offered.push_back(id.value());
        return OfferResult::Placed;
    });
    return offered;
}

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("latency-critical tasks go first, then the higher priority, the smaller share and the earlier submission")
{
    TaskQueue queue;
    TimePoint const now;
    queue.add(makeTask(1, "sluices"), 0, now);
    queue.add(makeTask(2, "sluices"), 5, now);
    queue.add(makeTask(3, "awnings"), 0, now);
    queue.add(makeTask(4, "awnings", TaskClass::LatencyCritical), 0, now);
    queue.add(makeTask(5, "awnings"), 0, now);
    std::map<std::string, double> shares { { "sluices", 0.5 }, { "awnings", 0.1 } };
    CHECK(offerAll(queue, {}, shares) == Names { "t4", "t2", "t3", "t5", "t1" });
    queue.remove(TaskId("t3"));
    CHECK(offerAll(queue, {}, shares) == Names { "t4", "t2", "t5", "t1" });
}

TEST_CASE("a task that has waited long goes before a newer one of higher priority")
{
    TaskQueue queue;
    TimePoint const start;
    TimePoint const later = start + Duration::minutes(6);
    queue.add(makeTask(1, "a"), 0, start);
    queue.add(makeTask(2, "a"), 5, later);
    std::map<std::string, double> shares;
    TaskQueue::PassOptions pass;
    pass.now = later;
    CHECK(offerAll(queue, pass, shares) == Names { "t1", "t2" });
}

TEST_CASE("a task that does not fit blocks only tasks of its own shape")
{
    TaskQueue queue;
    for (uint64_t i = 1; i <= 100; i++)
        queue.add(makeTask(i, "a", TaskClass::Batch, 64000), 0, TimePoint());
    queue.add(makeTask(101, "a"), 0, TimePoint());
    Names offered;
    TaskQueue::PassOptions pass;
    pass.maxOffers = 1000;
    pass.weightedShareOf = [](AssociationId const&) { return 0.0; };
    queue.offerTasks(pass, [&](TaskId const& id) {
        offered.push_back(id.value());
        return id == TaskId("t101") ? OfferResult::Placed : OfferResult::Blocked;
    });
    CHECK(offered == Names { "t1", "t101" });
}

TEST_CASE("every batchOfferInterval-th offer goes to a batch task while latency-critical tasks wait")
{
    TaskQueue queue;
    for (uint64_t i = 1; i <= 8; i++)
        queue.add(makeTask(i, "a", i <= 6 ? TaskClass::LatencyCritical : TaskClass::Batch), 0, TimePoint());
    std::map<std::string, double> shares;
    TaskQueue::PassOptions pass;
    pass.batchOfferInterval = 4;
    CHECK(offerAll(queue, pass, shares) == Names { "t1", "t2", "t3", "t7", "t4", "t5", "t6", "t8" });
}
