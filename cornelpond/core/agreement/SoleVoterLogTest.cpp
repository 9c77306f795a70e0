#include "cornelpond/core/agreement/SoleVoterLog.h"

#include "testing/fakes/FakeStorage.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

struct Recorder {
    std::vector<std::string> applied;
    std::string restored;
    bool leading = false;

    StateMachineHooks hooks()
    {
        StateMachineHooks result;
        result.apply = [this](LogIndex, std::string const& command) { this->applied.push_back(command); };
        result.takeSnapshot = [this] { return std::to_string(this->applied.size()); };
        result.restore = [this](std::string const& state) { this->restored = state; };
        result.onLeadership = [this](bool isLeader) { this->leading = isLeader; };
        return result;
    }
};

} // namespace

TEST_CASE("an acknowledged command survives a crash")
{
    FakeStorage disk;
    Recorder first;
    SoleVoterLog log(HostId("h1"), disk, first.hooks());
    log.start();
    ResultCode code = ResultCode::Internal;
    log.propose("a", [&](ProposalOutcome const& outcome) { code = outcome.code; });
    REQUIRE(code == ResultCode::Ok);
    disk.crash();

    Recorder second;
    SoleVoterLog restarted(HostId("h1"), disk, second.hooks());
    restarted.start();
    CHECK(second.applied == std::vector<std::string> { "a" });
    CHECK(restarted.term() > Term(1));
}

TEST_CASE("a failed sync acknowledges nothing and ends leadership")
{
    FakeStorage disk;
    Recorder recorder;
    SoleVoterLog log(HostId("h1"), disk, recorder.hooks());
    log.start();
    disk.failNext(ResultCode::DiskFull);
    ResultCode code = ResultCode::Ok;
    log.propose("a", [&](ProposalOutcome const& outcome) { code = outcome.code; });
    CHECK(code == ResultCode::DiskFull);
    CHECK_FALSE(log.isLeader());
    CHECK_FALSE(recorder.leading);
    log.propose("b", [&](ProposalOutcome const& outcome) { code = outcome.code; });
    CHECK(code == ResultCode::NotLeader);
}

TEST_CASE("a long log is compacted into a snapshot, which a restart loads")
{
    FakeStorage disk;
    Recorder recorder;
    SoleVoterLog log(HostId("h1"), disk, recorder.hooks());
    log.start();
    for (int i = 0; i < 10001; i++)
        log.propose("x", [](ProposalOutcome const&) {});
    Recorder second;
    SoleVoterLog restarted(HostId("h1"), disk, second.hooks());
    restarted.start();
    CHECK(second.restored == "10000");
    CHECK(second.applied.size() == 1);
}
