// Listings of a worker on their way through relays to leaders, while messages are lost, doubled or reordered, and hosts start again.

#include "cornelpond/core/relay/OrderRelay.h"

#include "testing/fakes/FakeClock.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace cornelpond;

namespace {

constexpr size_t leaderCount = 2;
constexpr size_t relayCount = 2;
WorkerTarget const target { WorkerId("w1"), "10.0.0.1:80", DataCentreId("north") };

auto fieldsOf(ListedAttempt const& row)
{
    return std::make_tuple(row.task.index, row.attempt.value(), row.checkpoint, row.progressPercent, row.latencyMsOrMilliCores);
}

auto fieldsOf(ListedEnd const& end)
{
    return std::make_tuple(end.number, end.task.index, end.attempt.value(), end.end, end.checkpoint);
}

template <typename Row>
auto fieldsOf(std::vector<Row> const& rows)
{
    std::vector<decltype(fieldsOf(Row()))> fields;
    fields.reserve(rows.size());
    for (auto const& row : rows)
        fields.push_back(fieldsOf(row));
    return fields;
}

/// The rows of attempts may come in another order, the ends may not.
bool areEqual(WorkerListing const& a, WorkerListing const& b)
{
    auto rowsOfA = fieldsOf(a.running);
    auto rowsOfB = fieldsOf(b.running);
    std::sort(rowsOfA.begin(), rowsOfA.end());
    std::sort(rowsOfB.begin(), rowsOfB.end());
    return a.bornMs == b.bornMs && a.isComplete == b.isComplete && rowsOfA == rowsOfB && fieldsOf(a.ended) == fieldsOf(b.ended);
}

WorkerListing arbitraryListing()
{
    WorkerListing listing;
    listing.bornMs = *rc::gen::weightedElement<int64_t>({ { 8, 7 }, { 1, 0 }, { 1, 8 } });
    for (uint32_t index = 0; index < 5; index++) {
        for (size_t copies = *rc::gen::weightedElement<size_t>({ { 8, 0 }, { 12, 1 }, { 1, 2 } }); copies; copies--)
            listing.running.push_back({ TaskRef { JobId("job"), 0, 0, index }, AttemptNumber(1), *rc::gen::element<std::string>("", "a"), *rc::gen::inRange(0U, 3U), *rc::gen::inRange<int64_t>(-1, 2) });
    }
    for (uint64_t number = 1; number <= *rc::gen::inRange<uint64_t>(0, 3); number++)
        listing.ended.push_back({ number, TaskRef { JobId("job"), 0, 0, 9 }, AttemptNumber(1), *rc::gen::element(AttemptEnd::Done, AttemptEnd::Failed), "" });
    listing.isComplete = *rc::gen::arbitrary<bool>();
    return listing;
}

/// The worker's answers, each told from the others by its number of acknowledged ends.
class Worker final : public WorkerOrders {
public:
    void start(WorkerTarget const&, StartOrder const&, Done) override { FAIL("unexpected order"); }
    void stop(WorkerTarget const&, StopOrder const&, Done) override { FAIL("unexpected order"); }
    void throttle(WorkerTarget const&, ThrottleOrder const&, Done) override { FAIL("unexpected order"); }
    void requestPermits(TaskRef const&, std::vector<WorkerId> const&, Duration, std::function<void(PermitAnswer const&)>) override { FAIL("unexpected order"); }
    void renew(WorkerTarget const&, RenewOrder const&, std::function<void(RenewAnswer const&)> done) override { this->open.push_back(std::move(done)); }

    void refuse(size_t index)
    {
        this->take(index)({ { OrderResult::Unknown, false, Duration() }, 0, WorkerListing() });
    }

    void answer(size_t index)
    {
        auto const done = this->take(index);
        this->given.push_back(arbitraryListing());
        done({ { OrderResult::Accepted, true, Duration::seconds(1) }, this->given.size() - 1, this->given.back() });
    }

    std::vector<std::function<void(RenewAnswer const&)>> open;
    std::vector<WorkerListing> given;

private:
    std::function<void(RenewAnswer const&)> take(size_t index)
    {
        auto done = std::move(this->open[index]);
        this->open.erase(this->open.begin() + static_cast<ptrdiff_t>(index));
        return done;
    }
};

struct Message {
    HostId from;
    HostId to;
    std::string payload;
};

class Hosts {
public:
    Hosts()
    {
        for (size_t i = 0; i < leaderCount; i++)
            this->startLeader(i);
        for (size_t i = 0; i < relayCount; i++)
            this->startRelay(i);
    }

    /// Also starts again. The order ids of the new process may be below those of the former one.
    void startLeader(size_t index)
    {
        this->leaders[index].reset();
        this->leaders[index] = this->newHost(leaderId(index));
    }

    void startRelay(size_t index)
    {
        this->relays[index].reset();
        this->relays[index] = this->newHost(relayId(index));
    }

    void renew(size_t leader, HostId route)
    {
        this->route = std::move(route);
        this->leaders[leader]->renew(target, RenewOrder(), [this](RenewAnswer const& answer) {
            if (answer.order.result != OrderResult::Accepted)
                return;
            this->acceptedCount++;
            RC_ASSERT(answer.acknowledgedEnds < this->worker.given.size());
            RC_ASSERT(areEqual(answer.listing, this->worker.given[answer.acknowledgedEnds]));
        });
    }

    void deliver(size_t index, bool isDoubled)
    {
        Message const message = this->sent[index];
        if (!isDoubled)
            this->sent.erase(this->sent.begin() + static_cast<ptrdiff_t>(index));
        for (size_t i = 0; i < leaderCount; i++) {
            if (message.to == leaderId(i))
                this->leaders[i]->onMessage(message.from, message.payload);
        }
        for (size_t i = 0; i < relayCount; i++) {
            if (message.to == relayId(i))
                this->relays[i]->onMessage(message.from, message.payload);
        }
    }

    void deliverAll()
    {
        this->clock.advance(Duration::milliseconds(30));
        while (!this->sent.empty())
            this->deliver(0, false);
    }

    /// Renews and delivers everything. Returns false when the renewal went unanswered.
    bool list(size_t leader, size_t relay)
    {
        size_t const acceptedBefore = this->acceptedCount;
        size_t const openBefore = this->worker.open.size();
        this->renew(leader, relayId(relay));
        this->deliverAll();
        if (this->worker.open.size() > openBefore)
            this->worker.answer(this->worker.open.size() - 1);
        this->deliverAll();
        return this->acceptedCount > acceptedBefore;
    }

    static HostId leaderId(size_t index) { return HostId("leader" + std::to_string(index)); }
    static HostId relayId(size_t index) { return HostId("relay" + std::to_string(index)); }

    FakeClock clock;
    Worker worker;
    std::array<std::unique_ptr<OrderRelay>, leaderCount> leaders;
    std::array<std::unique_ptr<OrderRelay>, relayCount> relays;
    std::vector<Message> sent;
    size_t acceptedCount = 0;

private:
    std::unique_ptr<OrderRelay> newHost(HostId const& own)
    {
        constexpr uint64_t idsPerProcess = 1000000;
        OrderRelayHooks hooks;
        hooks.relayFor = [this](WorkerTarget const&) { return this->route; };
        hooks.isReachable = [](HostId const&) { return true; };
        hooks.knowsListingChanges = [](HostId const&) { return true; };
        hooks.knowsDeadlines = [](HostId const&) { return true; };
        hooks.knowsProcesses = [](HostId const&) { return true; };
        hooks.send = [this, own](HostId const& to, std::string payload) { this->sent.push_back({ own, to, std::move(payload) }); };
        this->processCount++;
        uint64_t const number = *rc::gen::arbitrary<bool>() ? 1000 + this->processCount : 1000 - this->processCount;
        return std::make_unique<OrderRelay>(this->clock, this->clock, this->worker, DispatchTimes(), number * idsPerProcess, std::move(hooks));
    }

    HostId route;
    uint64_t processCount = 0;
};

template <typename Items>
size_t arbitraryIndex(Items const& items)
{
    return *rc::gen::inRange<size_t>(0, items.size());
}

/// The others often enough for changes of the leader and of the route.
template <typename Items>
size_t mostlyFirst(Items const& items)
{
    return *rc::gen::weightedElement<bool>({ { 8, true }, { 1, false } }) ? 0 : arbitraryIndex(items);
}

void arbitraryStep(Hosts& hosts)
{
    enum class Step { List,
        Renew,
        RenewDirectly,
        AnswerOrder,
        LeaveOrder,
        Deliver,
        DeliverAll,
        Double,
        Lose,
        RestartLeader,
        RestartRelay,
        LoseLink,
        Wait };
    switch (*rc::gen::weightedElement<Step>({ { 30, Step::List }, { 12, Step::Renew }, { 1, Step::RenewDirectly }, { 12, Step::AnswerOrder }, { 1, Step::LeaveOrder }, { 6, Step::Deliver }, { 12, Step::DeliverAll }, { 6, Step::Double }, { 2, Step::Lose }, { 1, Step::RestartLeader }, { 1, Step::RestartRelay }, { 1, Step::LoseLink }, { 2, Step::Wait } })) {
    case Step::List:
        hosts.list(mostlyFirst(hosts.leaders), mostlyFirst(hosts.relays));
        return;
    case Step::Renew:
        hosts.renew(mostlyFirst(hosts.leaders), Hosts::relayId(mostlyFirst(hosts.relays)));
        return;
    case Step::RenewDirectly:
        hosts.renew(arbitraryIndex(hosts.leaders), HostId());
        return;
    case Step::AnswerOrder:
        if (!hosts.worker.open.empty())
            hosts.worker.answer(arbitraryIndex(hosts.worker.open));
        return;
    case Step::LeaveOrder:
        if (!hosts.worker.open.empty())
            hosts.worker.refuse(arbitraryIndex(hosts.worker.open));
        return;
    case Step::Deliver:
    case Step::Double:
        hosts.clock.advance(Duration::milliseconds(*rc::gen::inRange(0, 30)));
        if (!hosts.sent.empty())
            hosts.deliver(arbitraryIndex(hosts.sent), *rc::gen::arbitrary<bool>());
        return;
    case Step::DeliverAll:
        hosts.deliverAll();
        return;
    case Step::Lose:
        if (!hosts.sent.empty())
            hosts.sent.erase(hosts.sent.begin() + static_cast<ptrdiff_t>(arbitraryIndex(hosts.sent)));
        return;
    case Step::RestartLeader:
        hosts.startLeader(arbitraryIndex(hosts.leaders));
        return;
    case Step::RestartRelay:
        hosts.startRelay(arbitraryIndex(hosts.relays));
        return;
    case Step::LoseLink:
        hosts.leaders[arbitraryIndex(hosts.leaders)]->onPeerDown(Hosts::relayId(arbitraryIndex(hosts.relays)));
        return;
    case Step::Wait:
        hosts.clock.advance(Duration::seconds(*rc::gen::element(1, 3, 20)));
        return;
    }
}

} // namespace

TEST_CASE("property: a leader gets exactly the listings that the worker gave, or no answer")
{
    size_t acceptedCount = 0;
    uint64_t changeCount = 0;
    rc::prop("listings equal the worker's through loss, doubling, reordering, restarts and other routes", [&] {
        Hosts hosts;
        for (int steps = *rc::gen::inRange(20, 120); steps; steps--)
            arbitraryStep(hosts);
        for (auto const& leader : hosts.leaders)
            changeCount += leader->counters().listingChangesReceived;
        acceptedCount += hosts.acceptedCount;

        // Nothing is lost any more: each leader gets the listing with its second renewal at the latest.
        hosts.clock.advance(Duration::seconds(10));
        hosts.deliverAll();
        hosts.worker.open.clear();
        for (size_t leader = 0; leader < leaderCount; leader++) {
            bool const isListed = hosts.list(leader, 0);
            RC_ASSERT(hosts.list(leader, 0) || isListed);
        }
    });
    // Else the property would say nothing about differences.
    CHECK(acceptedCount > 200);
    CHECK(changeCount > 100);
}
