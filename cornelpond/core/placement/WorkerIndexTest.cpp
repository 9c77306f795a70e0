#include "cornelpond/core/placement/WorkerIndex.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

WorkerCandidate anyCandidate(int number)
{
    WorkerCandidate candidate;
    candidate.id = WorkerId("w" + std::to_string(number));
    candidate.labels = { { "disk", *rc::gen::element<std::string>("ssd", "hdd") } };
    candidate.capacity = { 1000 * *rc::gen::inRange<int64_t>(0, 5), 1000 * *rc::gen::inRange<int64_t>(0, 5), 0 };
    candidate.free = { *rc::gen::inRange<int64_t>(-1000, candidate.capacity.milliCores + 1), *rc::gen::inRange<int64_t>(-1000, candidate.capacity.memoryMiB + 1), 0 };
    candidate.canAcceptTasks = *rc::gen::arbitrary<bool>();
    return candidate;
}

TaskSpec anySpec()
{
    TaskSpec spec;
    spec.taskClass = *rc::gen::element(TaskClass::Batch, TaskClass::LatencyCritical);
    spec.resources = { *rc::gen::inRange<int64_t>(0, 5000), *rc::gen::inRange<int64_t>(0, 5000), 0 };
    spec.workers = Selector::parse(*rc::gen::element<std::string>("", "disk = ssd", "disk = tape"));
    return spec;
}

} // namespace

TEST_CASE("the index chooses the same worker as a comparison of all workers, after any changes")
{
    rc::prop("any history", [] {
        WorkerIndex index;
        std::map<std::string, WorkerCandidate> model;
        int const changes = *rc::gen::inRange(1, 40);
        for (int i = 0; i < changes; i++) {
            WorkerCandidate const candidate = anyCandidate(*rc::gen::inRange(0, 8));
            int const kind = *rc::gen::inRange(0, 4);
            if (kind == 0) {
                index.remove(candidate.id);
                model.erase(candidate.id.value());
            } else if (kind == 1) {
                index.reserve(candidate.id, candidate.capacity);
                if (model.count(candidate.id.value()))
                    model[candidate.id.value()].free -= candidate.capacity;
            } else {
                index.set(candidate);
                model[candidate.id.value()] = candidate;
            }
        }
        std::vector<WorkerCandidate> candidates;
        candidates.reserve(model.size());
        for (auto const& [id, candidate] : model)
            candidates.push_back(candidate);
        TaskSpec const spec = anySpec();
        Placement const expected = choosePlacement(spec, candidates);
        Placement const found = index.choose({ spec, {}, {} });
        RC_ASSERT(found.worker == expected.worker);
        RC_ASSERT(found.fitsWhenEmpty == expected.fitsWhenEmpty);
        if (found.worker.empty())
            RC_ASSERT(found.reason == expected.reason);
    });
}

TEST_CASE("an avoided worker is chosen only when no other has room")
{
    WorkerIndex index;
    WorkerCandidate candidate;
    candidate.id = WorkerId("a");
    candidate.capacity = candidate.free = { 1000, 1000, 0 };
    index.set(candidate);
    TaskSpec spec;
    spec.resources = { 500, 500, 0 };
    CHECK(index.choose({ spec, { WorkerId("a") }, {} }).worker == WorkerId("a"));
    candidate.id = WorkerId("b");
    candidate.capacity = candidate.free = { 9000, 9000, 0 };
    index.set(candidate);
    CHECK(index.choose({ spec, { WorkerId("a") }, {} }).worker == WorkerId("b"));
}
