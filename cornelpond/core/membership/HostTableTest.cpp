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

    void advanceAndTick(Duration span)
    {
        for (Duration elapsed; elapsed < span; elapsed = elapsed + Duration::milliseconds(50)) {
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

TEST_CASE("a silent host becomes suspect, then gone, and must report for a while to be alive again")
{
    Watched watched;
    watched.report();
    CHECK(watched.state() == HostState::Alive);
    watched.advanceAndTick(Duration::milliseconds(1900));
    CHECK(watched.state() == HostState::Alive);
    watched.advanceAndTick(Duration::milliseconds(300));
    CHECK(watched.state() == HostState::Suspect);
    watched.advanceAndTick(Duration::seconds(31));
    CHECK(watched.state() == HostState::Gone);
    watched.report();
    CHECK(watched.state() == HostState::Gone);
    for (int i = 0; i < 5; i++) {
        watched.advanceAndTick(Duration::milliseconds(500));
        watched.report();
    }
    CHECK(watched.state() == HostState::Alive);
}

TEST_CASE("a host that never reports is gone in the end")
{
    Watched watched;
    watched.advanceAndTick(Duration::seconds(31));
    CHECK(watched.state() == HostState::Gone);
}

TEST_CASE("a suspect host is alive with its next report")
{
    Watched watched;
    watched.report();
    watched.advanceAndTick(Duration::seconds(5));
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

TEST_CASE("a host that reports again in time after its link was down stays alive")
{
    Watched watched;
    watched.report();
    watched.table.onLink(peer, false, watched.clock.now());
    watched.advanceAndTick(Duration::milliseconds(800));
    CHECK(watched.state() == HostState::Alive);
    watched.table.onLink(peer, true, watched.clock.now());
    watched.report();
    CHECK(watched.changes.size() == 1);
}

TEST_CASE("a report of a new process of the same host counts as a restart")
{
    Watched watched;
    watched.report(1);
    watched.advanceAndTick(Duration::milliseconds(500));
    watched.report(2);
    REQUIRE(watched.changes.size() == 2);
    CHECK(watched.changes[1].isNewProcess);
    CHECK(watched.state() == HostState::Alive);
}

TEST_CASE("intervals shorter than the lower bound of the timeout never make a host suspect")
{
    rc::prop("any delays", [] {
        Watched watched;
        watched.report();
        for (int i = 0; i < 100; i++) {
            watched.advanceAndTick(Duration::milliseconds(*rc::gen::inRange<int64_t>(300, 1800)));
            watched.report();
        }
        RC_ASSERT(watched.changes.size() == 1U);
    });
}

TEST_CASE("repeated stalls of a link lengthen the timeout of its host")
{
    Watched watched;
    watched.report();
    for (int i = 0; i < 40; i++) {
        watched.advanceAndTick(i % 4 == 0 ? Duration::milliseconds(2500) : Duration::milliseconds(500));
        watched.report();
    }
    size_t const changesAfterFirstHalf = watched.changes.size();
    for (int i = 0; i < 40; i++) {
        watched.advanceAndTick(i % 4 == 0 ? Duration::milliseconds(2500) : Duration::milliseconds(500));
        watched.report();
    }
    CHECK(changesAfterFirstHalf > 1);
    CHECK(watched.changes.size() == changesAfterFirstHalf);
}
