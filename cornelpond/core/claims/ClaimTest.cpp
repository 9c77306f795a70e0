#include "cornelpond/core/claims/ClaimClient.h"

#include "testing/fakes/FakeClock.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>
#include <memory>
#include <optional>

using namespace cornelpond;

namespace {

ClaimKey const booking { ServiceId("booking"), AssociationId("awnings"), "order-17" };

/// A group's log on one host: proposals wait until the test commits or drops them.
class FakeLog final : public CommandLog {
public:
    bool isLeader() const override { return this->leading; }
    bool isLeadershipConfirmed() const override { return this->leading; }
    Term term() const override { return Term(1); }
    HostId leader() const override { return {}; }

    void propose(std::string command, Done done) override
    {
        if (this->leading)
            this->waiting.push_back({ std::move(command), std::move(done) });
        else
            done({ ResultCode::NotLeader, LogIndex() });
    }

    struct Proposal {
        std::string command;
        Done done;
    };

    bool leading = false;
    std::deque<Proposal> waiting;
};

/// One entry host: its log, service and client, all of which are lost in a crash.
struct Host {
    Host(HostId const& id, uint64_t incarnation, ClaimClientHooks hooks, Clock const& clock)
        : service(clock, this->log, ClaimLimits())
        , client(options(id, incarnation), std::move(hooks), clock)
    {
    }

    static ClaimClientOptions options(HostId const& id, uint64_t incarnation)
    {
        ClaimClientOptions options;
        options.self = id;
        options.incarnation = incarnation;
        options.dataCentres = { DataCentreId("dc") };
        return options;
    }

    FakeLog log;
    size_t applied = 0;
    ClaimService service;
    ClaimClient client;
};

struct Message {
    size_t from;
    size_t to;
    std::string bytes;
};

struct Run {
    size_t host = 0;
    ClaimId id;
};

/// Three hosts, one group and a network that loses, duplicates and reorders messages.
class Cluster {
public:
    static constexpr size_t hostCount = 3;

    Cluster()
    {
        for (size_t i = 0; i < hostCount; i++)
            this->restart(i);
        this->elect(0);
    }

    static HostId name(size_t host) { return HostId("h" + std::to_string(host)); }

    void restart(size_t index)
    {
        bool const led = index == this->leader;
        if (led)
            this->depose(true);
        ClaimClientHooks hooks;
        hooks.candidates = [](DataCentreId const&) { return std::vector<HostId> { name(0), name(1), name(2) }; };
        hooks.send = [this, index](HostId const& to, std::string bytes) { this->network.push_back({ index, static_cast<size_t>(to.value()[1] - '0'), std::move(bytes) }); };
        hooks.handleLocally = [this, index](ClaimAction const& action, ClaimService::Done const& done) { this->hosts[index]->service.handle(action, done); };
        this->runs.erase(std::remove_if(this->runs.begin(), this->runs.end(), [&](Run const& run) { return run.host == index; }), this->runs.end());
        this->hosts[index] = std::make_unique<Host>(name(index), ++this->incarnations, hooks, this->clock);
        this->catchUp(index);
    }

    void catchUp(size_t index)
    {
        Host& host = *this->hosts[index];
        for (; host.applied < this->committed.size(); host.applied++)
            host.service.applyCommand(this->committed[host.applied]);
    }

    /// Ends the leadership. If `commitsSome`, about half of the open proposals get committed; the old leader
    /// learns the outcome of none.
    void depose(bool commitsSome)
    {
        if (!this->leader)
            return;
        FakeLog& log = this->hosts[*this->leader]->log;
        log.leading = false;
        this->leader.reset();
        auto const open = std::move(log.waiting);
        log.waiting.clear();
        for (size_t i = 0; i < open.size(); i++) {
            if (commitsSome && i < open.size() / 2 + 1)
                this->committed.push_back(open[i].command);
        }
        for (auto const& proposal : open)
            proposal.done({ ResultCode::OutcomeUnknown, LogIndex() });
    }

    void elect(size_t index)
    {
        this->depose(index % 2 == 0);
        this->catchUp(index);
        this->leader = index;
        this->hosts[index]->log.leading = true;
        this->hosts[index]->service.onLeadership(true);
    }

    void commitOne()
    {
        if (!this->leader || this->hosts[*this->leader]->log.waiting.empty())
            return;
        Host& host = *this->hosts[*this->leader];
        FakeLog::Proposal const proposal = std::move(host.log.waiting.front());
        host.log.waiting.pop_front();
        this->committed.push_back(proposal.command);
        this->catchUp(*this->leader);
        proposal.done({ ResultCode::Ok, LogIndex(this->committed.size()) });
    }

    void deliver(size_t pick, bool isDuplicate)
    {
        if (this->network.empty())
            return;
        auto const chosen = this->network.begin() + static_cast<std::ptrdiff_t>(pick % this->network.size());
        Message const message = *chosen;
        if (!isDuplicate)
            this->network.erase(chosen);
        this->hosts[message.to]->client.onMessage(name(message.from), message.bytes);
    }

    void request(size_t index)
    {
        this->hosts[index]->client.begin(booking, 1, this->clock.now() + Duration::seconds(5), [this, index](ClaimId const& id, ClaimResult result, StoredAnswer const&) {
            if (result == ClaimResult::Granted) {
                this->sentCount++;
                this->runs.push_back({ index, id });
            }
        });
    }

    /// Ends the oldest request in flight, 0: finished, 1: abandoned, else: released, so it did not run.
    void endRun(int outcome)
    {
        if (this->runs.empty())
            return;
        Run const run = this->runs.front();
        this->runs.erase(this->runs.begin());
        ClaimClient& client = this->hosts[run.host]->client;
        if (outcome == 0) {
            client.finish(booking, run.id, { 200, {}, "booked" });
        } else if (outcome == 1) {
            client.abandon(booking, run.id);
        } else {
            this->sentCount--;
            client.release(booking, run.id);
        }
    }

    FakeClock clock;
    std::array<std::unique_ptr<Host>, hostCount> hosts;
    std::vector<std::string> committed;
    std::deque<Message> network;
    std::optional<size_t> leader;
    uint64_t incarnations = 0;
    std::vector<Run> runs;
    int sentCount = 0; ///< Requests sent, without those known not to have run.
};

} // namespace

TEST_CASE("a key's request is sent at most once despite crashes, failover, loss and reordering")
{
    rc::prop("any events in any order", [] {
        Cluster cluster;
        auto const steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
        for (int step : steps) {
            auto const pick = static_cast<size_t>(step / 10);
            switch (step % 10) {
            case 0:
                cluster.request(pick % 3);
                break;
            case 1:
            case 2:
                cluster.deliver(pick, false);
                break;
            case 3:
                cluster.deliver(pick, true);
                break;
            case 4:
            case 5:
                cluster.commitOne();
                break;
            case 6:
                cluster.endRun(static_cast<int>(pick % 3));
                break;
            case 7:
                cluster.clock.advance(Duration::milliseconds(step));
                for (auto& host : cluster.hosts)
                    host->client.onTick();
                break;
            case 8:
                cluster.elect(pick % 3);
                break;
            default:
                if (pick % 3 == 0)
                    cluster.restart(pick / 3 % 3);
                else if (!cluster.network.empty())
                    cluster.network.pop_front();
            }
            RC_ASSERT(cluster.sentCount <= 1);
        }
    });
}

TEST_CASE("a resent request gets the stored answer, and another request with the same key a conflict")
{
    Cluster cluster;
    cluster.request(0);
    cluster.commitOne();
    REQUIRE(cluster.runs.size() == 1);
    cluster.endRun(0);
    cluster.commitOne();
    std::vector<ClaimResult> results;
    std::string body;
    auto const recordResult = [&](ClaimId const&, ClaimResult result, StoredAnswer const& answer) {
        results.push_back(result);
        body += answer.body;
    };
    cluster.hosts[0]->client.begin(booking, 1, cluster.clock.now() + Duration::seconds(5), recordResult);
    cluster.hosts[0]->client.begin(booking, 2, cluster.clock.now() + Duration::seconds(5), recordResult);
    CHECK(results == std::vector<ClaimResult> { ClaimResult::Finished, ClaimResult::Conflict });
    CHECK(body == "booked");
}

TEST_CASE("a claim whose holder is lost counts as unknown after its deadline, and the key is free once it expires")
{
    ClaimTable table;
    BeginClaim const first { booking, { HostId("a"), 1, 1 }, 7, Duration::seconds(5), Duration::seconds(60) };
    BeginClaim const second { booking, { HostId("b"), 1, 1 }, 7, Duration::seconds(5), Duration::seconds(60) };
    table.apply({ Duration(), first });
    CHECK(table.resultFor(first) == ClaimResult::Granted);
    CHECK(table.resultFor(second) == ClaimResult::InProgress);
    table.apply({ Duration::seconds(5), second });
    CHECK(table.resultFor(second) == ClaimResult::Unknown);
    ClaimTable restored;
    restored.restore(table.takeSnapshot());
    CHECK(restored.resultFor(second) == ClaimResult::Unknown);
    restored.apply({ Duration::seconds(56), second });
    CHECK(restored.resultFor(second) == ClaimResult::Granted);
}

TEST_CASE("without a reachable leader nothing is granted, and the caller gets Unavailable in time")
{
    Cluster cluster;
    cluster.depose(false);
    std::vector<ClaimResult> results;
    cluster.hosts[0]->client.begin(booking, 1, cluster.clock.now() + Duration::seconds(5), [&](ClaimId const&, ClaimResult result, StoredAnswer const&) { results.push_back(result); });
    for (int i = 0; i < 21; i++) {
        cluster.clock.advance(Duration::milliseconds(100));
        cluster.hosts[0]->client.onTick();
    }
    CHECK(results == std::vector<ClaimResult> { ClaimResult::Unavailable });
}
