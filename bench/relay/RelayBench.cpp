// The leader's processor time for its relays: one second of orders and answers, with encoding and decoding of the
// frames, without sockets. Seven relays, 490 workers that list 20 attempts three times a second, 1,280 starts a second.
//
//   build/bin/relay_bench

#include "cornelpond/adapters/peer/PeerFrame.h"
#include "cornelpond/core/relay/OrderRelay.h"
#include "testing/fakes/FakeClock.h"

#include <benchmark/benchmark.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace cornelpond;

namespace {

constexpr size_t relayCount = 7;
constexpr size_t workerCount = 490;
constexpr size_t rowsPerListing = 20;
constexpr size_t startsPerSecond = 1280;
constexpr Duration listingInterval = Duration::milliseconds(333);
constexpr Duration step = Duration::milliseconds(1);

HostId const leaderHost("leader");

struct SentFrame {
    HostId from;
    HostId to;
    std::string bytes;
};

HostId hostNumber(size_t number)
{
    return HostId("core-" + std::to_string(number));
}

size_t numberOf(HostId const& host)
{
    return std::stoul(host.value().substr(5));
}

WorkerTarget workerNumber(size_t number)
{
    return { WorkerId("i-a9da86b" + std::to_string(number)), "10.1.0." + std::to_string(number % 250) + ":8000", DataCentreId("grandi-a") };
}

/// The workers behind all relays. Each listing has new figures, and a new attempt in place of one that ended.
class Workers final : public WorkerOrders {
public:
    explicit Workers(FakeClock& clock)
        : clock(clock)
    {
    }

    void start(WorkerTarget const&, StartOrder const&, Done done) override
    {
        this->clock.after(Duration::milliseconds(4), [done = std::move(done)] { done({ OrderResult::Accepted, true, Duration::seconds(1) }); });
    }
    void stop(WorkerTarget const&, StopOrder const&, Done) override { }
    void throttle(WorkerTarget const&, ThrottleOrder const&, Done) override { }
    void requestPermits(TaskRef const&, std::vector<WorkerId> const&, Duration, std::function<void(PermitAnswer const&)>) override { }
    void renew(WorkerTarget const& worker, RenewOrder const&, std::function<void(RenewAnswer const&)> done) override
    {
        size_t const number = std::hash<WorkerId>()(worker.id) % workerCount;
        Duration const wait = listingInterval - Duration::milliseconds(static_cast<int64_t>(number % 100));
        this->clock.after(wait, [this, number, done = std::move(done)] { done(this->nextListing(number)); });
    }

private:
    RenewAnswer nextListing(size_t worker)
    {
        uint32_t const first = this->listingCounts.at(worker)++;
        RenewAnswer answer { { OrderResult::Accepted, true, Duration::seconds(1) }, 0, {} };
        for (uint32_t i = first; i < first + rowsPerListing; i++)
            answer.listing.running.push_back({ taskNumber(worker, i), AttemptNumber(1), "", static_cast<unsigned>(5 * (first + rowsPerListing - i)) % 100, static_cast<int64_t>(900 + first) });
        answer.listing.ended.push_back({ first, taskNumber(worker, first - 1), AttemptNumber(1), AttemptEnd::Done, "" });
        return answer;
    }

    static TaskRef taskNumber(size_t worker, uint32_t index) { return { JobId("5c0e7a21d94b3" + std::to_string(100 + worker)), 0, 0, index }; }

    FakeClock& clock;
    std::vector<uint32_t> listingCounts = std::vector<uint32_t>(workerCount, 1);
};

/// A leader with its relays, whose frames pass between them within a millisecond. Adds up the leader's time.
class Fleet {
public:
    explicit Fleet(bool hasListingChanges)
        : hasListingChanges(hasListingChanges)
    {
        for (size_t i = 0; i < relayCount; i++)
            this->relays.push_back(std::make_unique<OrderRelay>(this->relayClock, this->relayClock, this->workers, DispatchTimes(), i, this->hooks(hostNumber(i))));
        for (size_t i = 0; i < workerCount; i++)
            this->renew(i);
    }

    void run(Duration span)
    {
        for (TimePoint const end = this->leaderClock.now() + span; this->leaderClock.now() < end;)
            this->runStep();
    }

    std::chrono::duration<double> leaderTime {};
    size_t listings = 0;
    size_t bytesToLeader = 0;
    size_t framesToLeader = 0;

private:
    OrderRelayHooks hooks(HostId const& self)
    {
        OrderRelayHooks hooks;
        hooks.relayFor = [](WorkerTarget const& worker) { return hostNumber(std::hash<WorkerId>()(worker.id) % relayCount); };
        hooks.isReachable = [](HostId const&) { return true; };
        hooks.knowsListingChanges = [this](HostId const&) { return this->hasListingChanges; };
        hooks.knowsDeadlines = [](HostId const&) { return true; };
        hooks.knowsProcesses = [](HostId const&) { return true; };
        hooks.send = [this, self](HostId const& to, std::string payload) { this->frames.push_back({ self, to, encode(PeerMessage { PeerChannel::Orders, std::move(payload) }) }); };
        return hooks;
    }

    void renew(size_t worker)
    {
        this->leader.renew(workerNumber(worker), RenewOrder(), [this, worker](RenewAnswer const& answer) {
            this->listings += answer.order.result == OrderResult::Accepted;
            benchmark::DoNotOptimize(answer.listing.running.size());
            this->renew(worker);
        });
    }

    void runStep()
    {
        for (SentFrame const& frame : std::exchange(this->frames, {})) {
            if (frame.to == leaderHost) {
                this->bytesToLeader += frame.bytes.size();
                this->framesToLeader++;
                this->timeLeader([&] { deliver(frame, this->leader); });
            } else {
                deliver(frame, *this->relays.at(numberOf(frame.to)));
            }
        }
        this->timeLeader([&] {
            this->startDue();
            this->leaderClock.advance(step);
        });
        this->relayClock.advance(step);
    }

    static void deliver(SentFrame const& frame, OrderRelay& receiver)
    {
        receiver.onMessage(frame.from, std::get<PeerMessage>(decodePeerFrame(frame.bytes)).payload);
    }

    /// As many starts as are due up to now, a third of them with a large payload.
    void startDue()
    {
        constexpr size_t stepsPerSecond = 1000;
        constexpr size_t largePayloadBytes = 4000;
        constexpr size_t smallPayloadBytes = 300;
        for (this->startsDue += startsPerSecond; this->startsDue >= stepsPerSecond; this->startsDue -= stepsPerSecond) {
            StartOrder order { TaskRef { JobId("5c0e7a21d94b36f8"), 0, 0, this->startCount }, AttemptNumber(1), "", Duration::seconds(4), Term(2), "", "" };
            order.payload.assign(this->startCount % 3 ? smallPayloadBytes : largePayloadBytes, 'x');
            this->leader.start(workerNumber(this->startCount % workerCount), order, [](OrderAnswer const&) {});
            this->startCount++;
        }
    }

    template <typename Action>
    void timeLeader(Action const& action)
    {
        auto const start = std::chrono::steady_clock::now();
        action();
        this->leaderTime += std::chrono::steady_clock::now() - start;
    }

    bool hasListingChanges;
    FakeClock leaderClock;
    FakeClock relayClock;
    Workers workers { relayClock };
    std::vector<SentFrame> frames;
    size_t startsDue = 0;
    uint32_t startCount = 0;
    std::vector<std::unique_ptr<OrderRelay>> relays;
    OrderRelay leader { leaderClock, leaderClock, workers, DispatchTimes(), 1U << 20U, this->hooks(leaderHost) };
};

/// Argument: whether the relays send only what has changed in a listing.
void leaderSecond(benchmark::State& state)
{
    Fleet fleet(state.range(0) != 0);
    fleet.run(Duration::seconds(1));
    fleet.leaderTime = {};
    fleet.listings = fleet.bytesToLeader = fleet.framesToLeader = 0;
    size_t seconds = 0;
    for (auto _ : state) {
        auto const before = fleet.leaderTime;
        fleet.run(Duration::seconds(1));
        state.SetIterationTime((fleet.leaderTime - before).count());
        seconds++;
    }
    auto const perSecond = [&](size_t total) { return static_cast<double>(total) / static_cast<double>(seconds); };
    state.counters["listings"] = perSecond(fleet.listings);
    state.counters["framesIn"] = perSecond(fleet.framesToLeader);
    state.counters["bytesIn"] = perSecond(fleet.bytesToLeader);
}

BENCHMARK(leaderSecond)->Arg(0)->Arg(1)->UseManualTime()->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
