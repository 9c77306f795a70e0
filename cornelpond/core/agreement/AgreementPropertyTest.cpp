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

/// How many of the seeded schedules break a safety rule when the cluster is broken on purpose.
size_t violations(size_t runs, ScheduleRun::Setup const& setup)
{
    size_t found = 0;
    for (uint64_t seed = 1; seed <= runs; seed++) {
        try {
            ScheduleRun(seed, setup).run(randomActions(seed, 40));
        } catch (SafetyViolation const&) {
            found++;
        } catch (LivenessViolation const&) { // NOLINT(bugprone-empty-catch)
            // Not what is looked for here.
        }
    }
    return found;
}

} // namespace

TEST_CASE("no schedule of faults breaks a safety rule, and the group gets back to work")
{
    rc::prop("safety and recovery", [] {
        uint64_t const seed = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<uint64_t>());
        ScheduleRun(seed).run(*schedules());
    });
}

TEST_CASE("the checks catch disks that lose what they said was synced")
{
    CHECK(violations(60, [](AgreementCluster& cluster) {
        for (auto const& [id, host] : cluster.hosts)
            host->disk.ignoreSyncs();
    }) > 0);
}

TEST_CASE("the checks catch hosts that vote twice in a term")
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

TEST_CASE("the checks catch members that acknowledge entries they don't hold")
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
