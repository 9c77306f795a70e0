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

constexpr size_t fewWorkers = 50;
constexpr size_t manyWorkers = 1100;

WorkerId worker(int number)
{
    return WorkerId("w" + std::to_string(number));
}

} // namespace

TEST_CASE("a worker's relay is in its data centre and is not the leader")
{
    RelayChoice choice;
    choice.update(fourHosts, HostId("n1"), fewWorkers);
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
    choice.update({ { HostId("n1"), north }, { HostId("s1"), south } }, HostId("n1"), fewWorkers);
    CHECK(choice.relayFor(worker(1), north) == HostId("n1"));
}

TEST_CASE("workers of a data centre without hosts are spread over the others, the leader last")
{
    RelayChoice choice;
    choice.update({ { HostId("n1"), north }, { HostId("n2"), north } }, HostId("n1"), fewWorkers);
    CHECK(choice.relayFor(worker(1), south) == HostId("n2"));
    choice.update({ { HostId("n1"), north } }, HostId("n1"), fewWorkers);
    CHECK(choice.relayFor(worker(1), south) == HostId("n1"));
    choice.update({}, HostId(), fewWorkers);
    CHECK(choice.relayFor(worker(1), south).empty());
}

TEST_CASE("the loss of a host moves only the workers that it relayed for")
{
    RelayChoice before;
    before.update(fourHosts, HostId("n1"), fewWorkers);
    RelayChoice after;
    after.update({ fourHosts[0], fourHosts[1], fourHosts[2] }, HostId("n1"), fewWorkers);
    for (int i = 0; i < 100; i++) {
        if (before.relayFor(worker(i), south) == HostId("s1"))
            CHECK(after.relayFor(worker(i), south) == HostId("s1"));
    }
}

TEST_CASE("in a large fleet the leader relays for no worker while another host can, even from another data centre")
{
    // At 1,100 workers the leader served a fifth of the fleet itself, and had no processor time left for its decisions
    // (schmierdienst-large scale-1).
    RelayChoice choice;
    std::vector<RelayHost> const oneEach { { HostId("n1"), north }, { HostId("s1"), south } };
    choice.update(oneEach, HostId("n1"), manyWorkers);
    CHECK(choice.relayFor(worker(1), north) == HostId("s1"));
    CHECK(choice.relayFor(worker(1), south) == HostId("s1"));
    choice.update(oneEach, HostId("n1"), fewWorkers);
    CHECK(choice.relayFor(worker(1), north) == HostId("n1"));
    choice.update({ { HostId("n1"), north } }, HostId("n1"), manyWorkers);
    CHECK(choice.relayFor(worker(1), south) == HostId("n1"));
}
