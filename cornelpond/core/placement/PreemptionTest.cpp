#include "cornelpond/core/placement/Preemption.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

PreemptionVictim victim(std::string const& task, int64_t milliCores, double cost)
{
    return { TaskId(task), AttemptNumber(1), { milliCores, 0, 0 }, cost };
}

} // namespace

TEST_CASE("the cheapest plan is chosen and no attempt is evicted needlessly")
{
    std::vector<PreemptionCandidate> const candidates = {
        { WorkerId("a"), {}, { victim("small", 1000, 1), victim("large", 4000, 5) } },
        { WorkerId("b"), {}, { victim("costly", 4000, 50) } },
        { WorkerId("c"), {}, { victim("tooSmall", 1000, 0) } },
    };
    PreemptionPlan const plan = choosePreemption({ 4000, 0, 0 }, candidates);
    CHECK(plan.worker == WorkerId("a"));
    REQUIRE(plan.victims.size() == 1);
    CHECK(plan.victims[0].task == TaskId("large"));
    CHECK(choosePreemption({ 9000, 0, 0 }, candidates).victims.empty());
}

TEST_CASE("a plan frees enough room and every victim is needed")
{
    rc::prop("any host", [] {
        PreemptionCandidate host { WorkerId("w"), { *rc::gen::inRange<int64_t>(-500, 1000), 0, 0 }, {} };
        int const count = *rc::gen::inRange(0, 8);
        for (int i = 0; i < count; i++)
            host.victims.push_back(victim(std::to_string(i), *rc::gen::inRange<int64_t>(1, 1000), *rc::gen::inRange(0, 100)));
        Resources const need { *rc::gen::inRange<int64_t>(1, 4000), 0, 0 };
        PreemptionPlan const plan = choosePreemption(need, Span<PreemptionCandidate const>(&host, 1));
        Resources all = host.free;
        for (auto const& candidate : host.victims)
            all += candidate.freedResources;
        RC_ASSERT(plan.victims.empty() == (need.fitsIn(host.free) || !need.fitsIn(all)));
        Resources room = host.free;
        for (auto const& chosen : plan.victims)
            room += chosen.freedResources;
        for (auto const& chosen : plan.victims)
            RC_ASSERT(!need.fitsIn(room - chosen.freedResources));
        RC_ASSERT((plan.victims.empty() || need.fitsIn(room)));
    });
}
