#include "cornelpond/core/membership/HostTable.h"

#include "testing/fakes/FakeClock.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

HostId const peer("h2");

struct Watched {
    Watched()
        : table(HostTableTimes(), [this](HostChange const& change) { this->changes.push_back(change); })
    {
        this->table.add(peer, DataCentreId("north"), this->clock.now());
    }

    void report(uint64_t incarnation = 1, bool isLeaving = false)
    {
        HostReport report;
        report.incarnation = incarnation;
        report.isLeaving = isLeaving;
        this->table.onReport(peer, report, this->clock.now());
    }

    void pass(Duration span)
    {
        for (Duration passed; passed < span; passed = passed + Duration::milliseconds(50)) {
            this->clock.advance(Duration::milliseconds(50));
            this->table.onTick(this->clock.now());
        }
    }

    HostState state() const { return this->table.find(peer)->state; }

    FakeClock clock;
    std::vector<HostChange> changes;
    HostTable table;
};

} // namespace

TEST_CASE("a silent host becomes suspect, then gone, and must report a while to come back")
{
    Watched watched;
    watched.report();
    CHECK(watched.state() == HostState::Alive);
    watched.pass(Duration::milliseconds(1900));
    CHECK(watched.state() == HostState::Alive);
    watched.pass(Duration::milliseconds(300));
    CHECK(watched.state() == HostState::Suspect);
    watched.pass(Duration::seconds(31));
    CHECK(watched.state() == HostState::Gone);
    watched.report();
    CHECK(watched.state() == HostState::Gone);
    for (int i = 0; i < 5; i++) {
        watched.pass(Duration::milliseconds(500));
        watched.report();
    }
    CHECK(watched.state() == HostState::Alive);
}

TEST_CASE("a host of the settings that never speaks is gone in the end")
{
    Watched watched;
    watched.pass(Duration::seconds(31));
    CHECK(watched.state() == HostState::Gone);
}

TEST_CASE("a suspect host is alive with its next report")
{
    Watched watched;
    watched.report();
    watched.pass(Duration::seconds(5));
    CHECK(watched.state() == HostState::Suspect);
    watched.report();
    CHECK(watched.state() == HostState::Alive);
}

TEST_CASE("a host that leaves is gone as soon as its link is down")
{
    Watched watched;
    watched.table.onLink(peer, true, watched.clock.now());
    watched.report();
    watched.report(1, true);
    CHECK(watched.state() == HostState::Leaving);
    watched.table.onLink(peer, false, watched.clock.now());
    CHECK(watched.state() == HostState::Gone);
}

TEST_CASE("a lost link alone does not condemn a host that is heard again in time")
{
    Watched watched;
    watched.report();
    watched.table.onLink(peer, false, watched.clock.now());
    watched.pass(Duration::milliseconds(800));
    CHECK(watched.state() == HostState::Alive);
    watched.table.onLink(peer, true, watched.clock.now());
    watched.report();
    CHECK(watched.changes.size() == 1);
}

TEST_CASE("a restart shows as a new process of the same host")
{
    Watched watched;
    watched.report(1);
    watched.pass(Duration::milliseconds(500));
    watched.report(2);
    REQUIRE(watched.changes.size() == 2);
    CHECK(watched.changes[1].isNewProcess);
    CHECK(watched.state() == HostState::Alive);
}

TEST_CASE("jitter and stalls of a lossy link below the least bound never raise a suspicion")
{
    rc::prop("any delays", [] {
        Watched watched;
        watched.report();
        for (int i = 0; i < 100; i++) {
            watched.pass(Duration::milliseconds(*rc::gen::inRange<int64_t>(300, 1800)));
            watched.report();
        }
        RC_ASSERT(watched.changes.size() == 1U);
    });
}

TEST_CASE("a link that stalls again and again earns more patience")
{
    Watched watched;
    watched.report();
    for (int i = 0; i < 40; i++) {
        watched.pass(i % 4 == 0 ? Duration::milliseconds(2500) : Duration::milliseconds(500));
        watched.report();
    }
    size_t const early = watched.changes.size();
    for (int i = 0; i < 40; i++) {
        watched.pass(i % 4 == 0 ? Duration::milliseconds(2500) : Duration::milliseconds(500));
        watched.report();
    }
    CHECK(early > 1);
    CHECK(watched.changes.size() == early);
}
