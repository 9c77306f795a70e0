#include "testing/fakes/AgreementSchedule.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

rc::Gen<std::vector<FaultAction>> schedules()
{
    constexpr int longestSchedule = 40;
    auto const action = rc::gen::map(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<uint64_t>()), makeAction);
    return rc::gen::resize(longestSchedule, rc::gen::container<std::vector<FaultAction>>(action));
}

/// Number of the seeded schedules that violate safety when `setup` injects a fault that the log does not tolerate.
size_t violations(size_t runs, ScheduleRun::Setup const& setup)
{
    size_t found = 0;
    for (uint64_t seed = 1; seed <= runs; seed++) {
        try {
            ScheduleRun(seed, setup).run(randomActions(seed, 40));
        } catch (SafetyViolation const&) {
            found++;
        } catch (LivenessViolation const&) { // NOLINT(bugprone-empty-catch)
            // Only safety violations count here.
        }
    }
    return found;
}

} // namespace

TEST_CASE("no schedule of faults violates safety, and the group recovers afterwards")
{
    rc::prop("safety and recovery", [] {
        uint64_t const seed = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<uint64_t>());
        ScheduleRun(seed).run(*schedules());
    });
}

TEST_CASE("the safety checks detect disks that lose synced data")
{
    CHECK(violations(60, [](AgreementCluster& cluster) {
        for (auto const& [id, host] : cluster.hosts)
            host->disk.ignoreSyncs();
    }) > 0);
}

TEST_CASE("the safety checks detect hosts that vote twice in a term")
{
    CHECK(violations(60, [](AgreementCluster& cluster) {
        cluster.tamper = [](HostId const&, HostId const&, std::string& bytes) {
            AgreementMessage message = decodeMessage(bytes);
            if (auto* reply = std::get_if<VoteReply>(&message)) {
                reply->isGranted = true;
                reply->term = std::min(reply->term, reply->requestTerm);
                bytes = encodeMessage(message);
            }
        };
    }) > 0);
}

TEST_CASE("the safety checks detect members that acknowledge entries they do not hold")
{
    CHECK(violations(60, [](AgreementCluster& cluster) {
        cluster.tamper = [](HostId const&, HostId const&, std::string& bytes) {
            AgreementMessage message = decodeMessage(bytes);
            if (auto* reply = std::get_if<AppendReply>(&message)) {
                reply->isSuccess = true;
                reply->index = reply->previousIndex.next();
                bytes = encodeMessage(message);
            }
        };
    }) > 0);
}
