#include "cornelpond/core/agreement/StateMachineSet.h"

#include "cornelpond/core/agreement/SoleVoterLog.h"
#include "testing/fakes/FakeStorage.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

StateMachineHooks recordInto(std::string& text)
{
    StateMachineHooks hooks;
    hooks.apply = [&text](LogIndex, std::string const& command) { text += command; };
    hooks.takeSnapshot = [&text] { return text; };
    hooks.restore = [&text](std::string const& state) { text = state; };
    hooks.onLeadership = [](bool) {};
    return hooks;
}

} // namespace

TEST_CASE("each part gets only its own commands and snapshot")
{
    FakeStorage disk;
    std::string tasks;
    std::string claims;
    StateMachineSet set;
    CommandLog& taskLog = set.add(StateMachinePart::Tasks, recordInto(tasks));
    CommandLog& claimLog = set.add(StateMachinePart::Claims, recordInto(claims));
    taskLog.propose("early", [](ProposalOutcome const& outcome) { CHECK(outcome.code == ResultCode::NotLeader); });
    SoleVoterLog log(HostId("h1"), disk, set.hooks());
    set.attach(log);
    log.start();
    taskLog.propose("a", [](ProposalOutcome const&) {});
    claimLog.propose(std::string("\0b", 2), [](ProposalOutcome const&) {});
    CHECK(tasks == "a");
    CHECK(claims == std::string("\0b", 2));

    std::string const snapshot = set.hooks().takeSnapshot();
    tasks.clear();
    claims.clear();
    set.hooks().restore(snapshot);
    CHECK(tasks == "a");
    CHECK(claims == std::string("\0b", 2));
}

TEST_CASE("a snapshot without evacuations can be restored by a host that lacks the part, and empties it elsewhere")
{
    std::string tasks = "a";
    std::string evacuations;
    StateMachineSet set;
    set.add(StateMachinePart::Tasks, recordInto(tasks));
    set.add(StateMachinePart::Evacuations, recordInto(evacuations));
    std::string const snapshot = set.hooks().takeSnapshot();
    std::string earlierTasks;
    StateMachineSet earlier;
    earlier.add(StateMachinePart::Tasks, recordInto(earlierTasks));
    earlier.hooks().restore(snapshot);
    CHECK(earlierTasks == "a");
    evacuations = "b";
    set.hooks().restore(snapshot);
    CHECK(evacuations.empty());
}
