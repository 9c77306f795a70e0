#include "cornelpond/core/routing/SlotShareHolder.h"
#include "cornelpond/core/routing/SlotShareOwner.h"

#include "testing/fakes/FakeClock.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>
#include <memory>

using namespace cornelpond;

namespace {

constexpr uint32_t slots = 8;
constexpr size_t hostCount = 3;
BackendServerId const server("s1");
SlotShareTimes const times;

std::vector<HostId> hostNames()
{
    return { HostId("h0"), HostId("h1"), HostId("h2") };
}

struct Attempt {
    TimePoint end;
};

struct Host {
    Host(size_t index, uint64_t incarnation, Clock const& clock)
        : holder(hostNames()[index], hostNames(), incarnation, clock)
        , owner(hostNames(), times, clock)
    {
    }

    SlotShareHolder holder;
    SlotShareOwner owner;
    std::vector<Attempt> attempts; ///< In flight at the backend server; a crash ends them.
    bool isPaused = false;
    TimePoint confirmedUntil; ///< End of the time for which a majority has confirmed this host's leadership.
};

struct Message {
    size_t from;
    size_t to;
    SlotShareMessage content;
};

/// The entry hosts of one data centre and one backend server. A new leader is elected only after the old
/// leader's confirmation has expired, as check-quorum guarantees; the old leader may not have noticed yet.
class Cluster {
public:
    Cluster()
    {
        for (size_t i = 0; i < hostCount; i++)
            this->restart(i);
        this->elect(0);
    }

    void restart(size_t index) { this->hosts[index] = std::make_unique<Host>(index, ++this->incarnations, this->clock); }

    void elect(size_t index)
    {
        if (this->clock.now() < this->hosts[this->leader]->confirmedUntil || this->hosts[index]->isPaused)
            return;
        this->leader = index;
        this->hosts[index]->owner.onLeadership(Term(++this->term));
        this->confirm();
    }

    void confirm() { this->hosts[this->leader]->confirmedUntil = this->clock.now() + Duration::milliseconds(300); }

    void sendRequest(size_t index, uint32_t wanted)
    {
        Host& host = *this->hosts[index];
        if (host.isPaused)
            return;
        SlotShareDemand const demand { server, slots, static_cast<uint32_t>(host.attempts.size()), wanted };
        SlotShareRequest const request = host.holder.makeRequest({ &demand, 1 });
        for (size_t to = 0; to < hostCount; to++)
            this->network.push_back({ index, to, request });
    }

    void deliver(size_t pick, bool again)
    {
        if (this->network.empty())
            return;
        auto const chosen = this->network.begin() + static_cast<std::ptrdiff_t>(pick % this->network.size());
        Message const message = *chosen;
        Host& host = *this->hosts[message.to];
        if (host.isPaused)
            return;
        if (!again)
            this->network.erase(chosen);
        if (auto const* grant = std::get_if<SlotShareGrant>(&message.content)) {
            host.holder.onGrant(std::get<SlotShareGrant>(decodeSlotShareMessage(encodeSlotShareMessage(*grant))));
            return;
        }
        bool const isConfirmed = this->clock.now() < host.confirmedUntil;
        auto const grant = host.owner.onRequest(hostNames()[message.from], std::get<SlotShareRequest>(message.content), isConfirmed);
        if (grant)
            this->network.push_back({ message.to, message.from, *grant });
    }

    void start(size_t index, Duration length)
    {
        Host& host = *this->hosts[index];
        TimePoint const end = this->clock.now() + length;
        if (!host.isPaused && host.attempts.size() < host.holder.usableSlots(server, slots, end))
            host.attempts.push_back({ end });
    }

    void advance(Duration span)
    {
        this->clock.advance(span);
        for (auto& host : this->hosts) {
            auto& attempts = host->attempts;
            attempts.erase(std::remove_if(attempts.begin(), attempts.end(), [&](Attempt const& attempt) { return attempt.end <= this->clock.now(); }), attempts.end());
        }
    }

    void deliverAll()
    {
        for (; !this->network.empty(); this->network.pop_front())
            this->deliver(0, true);
    }

    uint32_t usableSlots(size_t index) const { return this->hosts[index]->holder.usableSlots(server, slots, this->clock.now()); }

    /// Slots that the hosts use or could start to use now.
    size_t slotsInUse() const
    {
        size_t sum = 0;
        for (size_t i = 0; i < hostCount; i++)
            sum += std::max<size_t>(this->usableSlots(i), this->hosts[i]->attempts.size());
        return sum;
    }

    FakeClock clock;
    std::array<std::unique_ptr<Host>, hostCount> hosts;
    std::deque<Message> network;
    size_t leader = 0;
    uint64_t term = 0;
    uint64_t incarnations = 0;
};

/// One second of undisturbed operation: four rounds of requests and grants.
void runOneSecond(Cluster& cluster, std::array<uint32_t, hostCount> const& wanted)
{
    for (int round = 0; round < 4; round++) {
        cluster.confirm();
        for (size_t i = 0; i < hostCount; i++)
            cluster.sendRequest(i, wanted[i]);
        cluster.deliverAll();
        cluster.advance(Duration::milliseconds(250));
    }
}

} // namespace

TEST_CASE("the sum of usable and used slots never exceeds the server's")
{
    rc::prop("under loss, duplication, crashes, pauses, isolation and changes of the owner", [] {
        Cluster cluster;
        auto const steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10000));
        for (int step : steps) {
            auto const pick = static_cast<size_t>(step / 12);
            size_t const host = pick % hostCount;
            switch (step % 12) {
            case 0:
            case 1:
                cluster.sendRequest(host, static_cast<uint32_t>(pick / 3 % 9));
                break;
            case 2:
            case 3:
            case 4:
                cluster.deliver(pick, false);
                break;
            case 5:
                cluster.deliver(pick, true);
                break;
            case 6:
                if (!cluster.network.empty())
                    cluster.network.pop_front();
                break;
            case 7:
                cluster.advance(Duration::milliseconds(static_cast<int64_t>(pick) * 2));
                break;
            case 8:
                cluster.start(host, Duration::milliseconds(static_cast<int64_t>(pick) * 15));
                break;
            case 9:
                cluster.hosts[host]->isPaused = !cluster.hosts[host]->isPaused;
                break;
            case 10:
                if (pick % 4 == 0)
                    cluster.restart(host);
                else
                    cluster.elect(host);
                break;
            default:
                if (!cluster.hosts[cluster.leader]->isPaused)
                    cluster.confirm();
            }
            RC_ASSERT(cluster.slotsInUse() <= slots);
        }
    });
}

TEST_CASE("all slots are leased out and follow the demand within a second")
{
    Cluster cluster;
    runOneSecond(cluster, { 0, 0, 0 });
    CHECK(cluster.slotsInUse() == slots);
    runOneSecond(cluster, { 8, 0, 0 });
    uint32_t const busy = cluster.usableSlots(0);
    runOneSecond(cluster, { 0, 0, 8 });
    CHECK(cluster.slotsInUse() == slots);
    CHECK(cluster.usableSlots(0) < busy);
    CHECK(cluster.usableSlots(2) >= 5);
}

TEST_CASE("the leased slots of a paused host go to other hosts after its lease, its guaranteed slots do not")
{
    Cluster cluster;
    runOneSecond(cluster, { 0, 8, 0 });
    cluster.hosts[1]->isPaused = true;
    runOneSecond(cluster, { 8, 0, 0 });
    uint32_t const before = cluster.usableSlots(0);
    cluster.advance(times.lease + times.driftMargin);
    runOneSecond(cluster, { 8, 0, 0 });
    CHECK(cluster.usableSlots(0) > before);
    auto const hosts = hostNames();
    CHECK(cluster.usableSlots(0) + guaranteedSlots(server, slots, hosts[1], { hosts.data(), hosts.size() }) + cluster.usableSlots(2) == slots);
}

TEST_CASE("a new owner raises shares as soon as every host has applied a grant of its term")
{
    Cluster cluster;
    runOneSecond(cluster, { 8, 0, 0 });
    cluster.advance(Duration::seconds(1));
    cluster.elect(1);
    runOneSecond(cluster, { 0, 8, 0 });
    CHECK(cluster.usableSlots(1) >= 4);
    CHECK(cluster.slotsInUse() == slots);
}

TEST_CASE("without an owner every host has guaranteed slots on some server and a single host has all slots")
{
    auto const hosts = hostNames();
    for (auto const& host : hosts) {
        uint32_t guaranteed = 0;
        for (int i = 0; i < 20; i++)
            guaranteed += guaranteedSlots(BackendServerId("s" + std::to_string(i)), slots, host, { hosts.data(), hosts.size() });
        CHECK(guaranteed >= 20);
    }
    CHECK(guaranteedSlots(server, slots, hosts[0], { hosts.data(), 1 }) == slots);
}
