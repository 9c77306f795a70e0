#include "cornelpond/core/evacuation/EvacuationPlan.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

EvacuationCandidate service(size_t stage, size_t tasks, uint32_t maxUnavailable, size_t unavailable)
{
    EvacuationCandidate candidate;
    candidate.isService = true;
    candidate.stage = stage;
    candidate.stageTasks = tasks;
    candidate.maxUnavailable = maxUnavailable;
    candidate.stageUnavailable = unavailable;
    return candidate;
}

EvacuationCandidate bestEffort(Duration remaining)
{
    EvacuationCandidate candidate;
    candidate.isBestEffort = true;
    candidate.savesCheckpoints = true;
    candidate.remaining = remaining;
    return candidate;
}

bool anyRoom(size_t)
{
    return true;
}

EvacuationPlan const plan { EvacuationLimits() };

} // namespace

TEST_CASE("a service's tasks are moved as far as its limit of unavailable tasks allows, those with most slack first")
{
    std::vector<EvacuationCandidate> candidates;
    for (size_t i = 0; i < 3; i++) {
        candidates.push_back(service(0, 14, 2, 1));
        candidates.push_back(service(1, 14, 2, 2));
        candidates.push_back(service(2, 14, 2, 0));
    }
    CHECK(plan.choose(candidates, {}, anyRoom) == std::vector<size_t> { 2, 5, 0 });
}

TEST_CASE("a service without a limit loses an eighth of its tasks at a time, at least one")
{
    std::vector<EvacuationCandidate> const large(20, service(0, 20, 0, 0));
    CHECK(plan.choose(large, {}, anyRoom).size() == 2);
    std::vector<EvacuationCandidate> const small(3, service(0, 3, 0, 0));
    CHECK(plan.choose(small, {}, anyRoom).size() == 1);
    CHECK(plan.choose({ std::vector<EvacuationCandidate>(3, service(0, 3, 0, 1)) }, {}, anyRoom).empty());
}

TEST_CASE("only a few tasks move at once, and none without room elsewhere")
{
    std::vector<EvacuationCandidate> candidates;
    for (size_t stage = 0; stage < 40; stage++)
        candidates.push_back(service(stage, 1, 1, 0));
    CHECK(plan.choose(candidates, {}, anyRoom).size() == EvacuationLimits().maxServiceMoves);
    CHECK(plan.choose(candidates, { 10, 0 }, anyRoom).size() == EvacuationLimits().maxServiceMoves - 10);
    CHECK(plan.choose(candidates, {}, [](size_t index) { return index % 10 == 3; }) == std::vector<size_t> { 3, 13, 23, 33 });
}

TEST_CASE("best-effort work that saves checkpoints is moved after services, the longest first, unless it ends soon")
{
    std::vector<EvacuationCandidate> candidates { bestEffort(Duration::seconds(5)), bestEffort(Duration::seconds(3)), bestEffort(Duration::seconds(9)), service(0, 2, 1, 0) };
    CHECK(plan.choose(candidates, {}, anyRoom) == std::vector<size_t> { 3, 2, 0 });
}

TEST_CASE("short tasks, gangs and work without checkpoints run to their end")
{
    EvacuationCandidate gang = service(0, 4, 4, 0);
    gang.isGang = true;
    EvacuationCandidate unsaved = bestEffort(Duration::seconds(60));
    unsaved.savesCheckpoints = false;
    CHECK(plan.choose({ std::vector<EvacuationCandidate> { EvacuationCandidate(), gang, unsaved } }, {}, anyRoom).empty());
}
