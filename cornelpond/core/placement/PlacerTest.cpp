#include "cornelpond/core/placement/Placer.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

WorkerCandidate makeCandidate(std::string const& id, int64_t freeMilliCores)
{
    WorkerCandidate candidate;
    candidate.id = WorkerId(id);
    candidate.capacity = { 16000, 65536, 0 };
    candidate.free = { freeMilliCores, 65536, 0 };
    candidate.labels = { { "disk", "ssd" } };
    return candidate;
}

TaskSpec makeSpec(int64_t milliCores, std::string const& selector = "")
{
    TaskSpec spec;
    spec.resources = { milliCores, 100, 0 };
    spec.workers = Selector::parse(selector);
    return spec;
}

} // namespace

TEST_CASE("the tightest fit wins")
{
    std::vector<WorkerCandidate> const candidates = { makeCandidate("a", 9000), makeCandidate("b", 3000), makeCandidate("c", 1000) };
    CHECK(choosePlacement(makeSpec(2000), candidates).worker == WorkerId("b"));
}

TEST_CASE("the reason says why no worker was chosen")
{
    std::vector<WorkerCandidate> const candidates = { makeCandidate("a", 1000) };
    CHECK(choosePlacement(makeSpec(2000), candidates).reason == "no matching worker has room now");
    CHECK(choosePlacement(makeSpec(2000), candidates).fitsWhenEmpty);
    CHECK(choosePlacement(makeSpec(99000), candidates).reason == "larger than any matching worker");
    CHECK(choosePlacement(makeSpec(1, "disk = tape"), candidates).reason == "no worker matches the selector");
}

TEST_CASE("a worker that accepts no tasks is never chosen and no worker is filled beyond its free room")
{
    rc::prop("any fleet", [] {
        std::vector<WorkerCandidate> candidates;
        for (int i = 0; i < 6; i++) {
            candidates.push_back(makeCandidate("w" + std::to_string(i), *rc::gen::inRange<int64_t>(0, 16001)));
            candidates.back().canAcceptTasks = *rc::gen::arbitrary<bool>();
        }
        TaskSpec const spec = makeSpec(*rc::gen::inRange<int64_t>(0, 16001));
        Placement const placement = choosePlacement(spec, candidates);
        bool anyFits = false;
        for (auto const& candidate : candidates) {
            bool const fits = candidate.canAcceptTasks && spec.resources.fitsIn(candidate.free);
            anyFits = anyFits || fits;
            if (candidate.id == placement.worker)
                RC_ASSERT(fits);
        }
        RC_ASSERT(anyFits == !placement.worker.empty());
    });
}
