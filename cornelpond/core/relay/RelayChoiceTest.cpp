#include "cornelpond/core/relay/RelayChoice.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cornelpond;

namespace {

DataCentreId const north("north");
DataCentreId const south("south");

std::vector<RelayHost> const fourHosts {
    { HostId("n1"), north },
    { HostId("n2"), north },
    { HostId("s1"), south },
    { HostId("s2"), south },
};

WorkerId worker(int number)
{
    return WorkerId("w" + std::to_string(number));
}

} // namespace

TEST_CASE("a worker's relay is in its data centre and is not the leader")
{
    RelayChoice choice;
    choice.update(fourHosts, HostId("n1"));
    std::map<HostId, int> workers;
    for (int i = 0; i < 100; i++) {
        workers[choice.relayFor(worker(i), south)]++;
        CHECK(choice.relayFor(worker(i), north) == HostId("n2"));
    }
    CHECK(workers.size() == 2);
    CHECK(workers[HostId("s1")] > 30);
    CHECK(workers[HostId("s2")] > 30);
}

TEST_CASE("the leader relays for the workers of its data centre when it is the only host there")
{
    RelayChoice choice;
    choice.update({ { HostId("n1"), north }, { HostId("s1"), south } }, HostId("n1"));
    CHECK(choice.relayFor(worker(1), north) == HostId("n1"));
}

TEST_CASE("workers of a data centre without hosts are spread over the others, the leader last")
{
    RelayChoice choice;
    choice.update({ { HostId("n1"), north }, { HostId("n2"), north } }, HostId("n1"));
    CHECK(choice.relayFor(worker(1), south) == HostId("n2"));
    choice.update({ { HostId("n1"), north } }, HostId("n1"));
    CHECK(choice.relayFor(worker(1), south) == HostId("n1"));
    choice.update({}, HostId());
    CHECK(choice.relayFor(worker(1), south).empty());
}

TEST_CASE("the loss of a host moves only the workers that it relayed for")
{
    RelayChoice before;
    before.update(fourHosts, HostId("n1"));
    RelayChoice after;
    after.update({ fourHosts[0], fourHosts[1], fourHosts[2] }, HostId("n1"));
    for (int i = 0; i < 100; i++) {
        if (before.relayFor(worker(i), south) == HostId("s1"))
            CHECK(after.relayFor(worker(i), south) == HostId("s1"));
    }
}
