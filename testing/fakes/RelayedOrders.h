#pragma once

// Passes orders to a simulated fleet by way of relays that a test can freeze. A frozen relay reads and sends nothing, and
// carries out everything that it was sent once it thaws.
//
// Example:
//   RelayedOrders orders(clock, fleet, 2);
//   orders.freeze(0);
//   service.start(...);
//   orders.thaw(0);

#include "cornelpond/core/base/StableHash.h"
#include "cornelpond/core/relay/OrderRelay.h"
#include "testing/fakes/FakeClock.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cornelpond {

class RelayedOrders final : public WorkerOrders {
public:
    /// References must outlive the object.
    RelayedOrders(FakeClock& clock, WorkerOrders& fleet, size_t relayCount)
        : clock(clock)
    {
        constexpr uint64_t idsPerHost = 1000000;
        this->leader = std::make_unique<OrderRelay>(clock, clock, fleet, DispatchTimes(), idsPerHost, this->hooksOf(leaderHost(), true));
        this->relays.resize(relayCount);
        for (size_t i = 0; i < relayCount; i++)
            this->relays[i].relay = std::make_unique<OrderRelay>(clock, clock, fleet, DispatchTimes(), (i + 2) * idsPerHost, this->hooksOf(relayHost(i), false));
    }

    void freeze(size_t relay)
    {
        Relay& frozen = this->relays[relay];
        if (frozen.isFrozen)
            return;
        frozen.isFrozen = true;
        frozen.freezeCount++;
        this->clock.after(silenceThreshold, [this, relay, freezeCount = frozen.freezeCount] {
            Relay& silent = this->relays[relay];
            if (!silent.isFrozen || silent.freezeCount != freezeCount)
                return;
            silent.isKnownSilent = true;
            this->leader->onPeerDown(relayHost(relay));
        });
    }

    void thaw(size_t relay)
    {
        Relay& thawed = this->relays[relay];
        thawed.isFrozen = false;
        thawed.isKnownSilent = false;
        for (auto const& payload : std::exchange(thawed.unread, {}))
            thawed.relay->onMessage(leaderHost(), payload);
        for (auto const& payload : std::exchange(thawed.unsent, {}))
            this->leader->onMessage(relayHost(relay), payload);
    }

    void start(WorkerTarget const& worker, StartOrder const& order, Done done) override { this->leader->start(worker, order, std::move(done)); }
    void stop(WorkerTarget const& worker, StopOrder const& order, Done done) override { this->leader->stop(worker, order, std::move(done)); }
    void throttle(WorkerTarget const& worker, ThrottleOrder const& order, Done done) override { this->leader->throttle(worker, order, std::move(done)); }
    void renew(WorkerTarget const& worker, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override { this->leader->renew(worker, order, std::move(done)); }
    void requestPermits(TaskRef const& stage, std::vector<WorkerId> const& workers, Duration timeout, std::function<void(PermitAnswer const&)> done) override
    {
        this->leader->requestPermits(stage, workers, timeout, std::move(done));
    }

private:
    struct Relay {
        std::unique_ptr<OrderRelay> relay;
        bool isFrozen = false;
        bool isKnownSilent = false; ///< The leader has noticed that it is frozen, and chooses other relays.
        unsigned freezeCount = 0;
        std::vector<std::string> unread; ///< Messages that arrived while it was frozen.
        std::vector<std::string> unsent; ///< Messages that it would have sent meanwhile.
    };

    static constexpr Duration linkDelay = Duration::milliseconds(2);
    static constexpr Duration silenceThreshold = Duration::milliseconds(600);

    static HostId leaderHost() { return HostId("leader"); }
    static HostId relayHost(size_t relay) { return HostId("relay" + std::to_string(relay)); }

    OrderRelayHooks hooksOf(HostId const& self, bool isLeader)
    {
        OrderRelayHooks hooks;
        hooks.relayFor = [this, isLeader](WorkerTarget const& worker) { return isLeader ? this->relayFor(worker) : HostId(); };
        hooks.isReachable = [](HostId const&) { return true; };
        hooks.knowsListingChanges = [](HostId const&) { return true; };
        hooks.knowsDeadlines = [](HostId const&) { return true; };
        hooks.knowsProcesses = [](HostId const&) { return true; };
        hooks.send = [this, self](HostId const& to, std::string payload) {
            this->clock.after(linkDelay, [this, self, to, payload = std::move(payload)] { this->deliver(self, to, payload); });
        };
        return hooks;
    }

    HostId relayFor(WorkerTarget const& worker) const
    {
        std::vector<HostId> reachable;
        for (size_t i = 0; i < this->relays.size(); i++) {
            if (!this->relays[i].isKnownSilent)
                reachable.push_back(relayHost(i));
        }
        return reachable.empty() ? HostId() : reachable[stableHash(worker.id.value(), 0) % reachable.size()];
    }

    void deliver(HostId const& from, HostId const& to, std::string const& payload)
    {
        for (size_t i = 0; i < this->relays.size(); i++) {
            Relay& relay = this->relays[i];
            bool const isFromRelay = from == relayHost(i);
            if (!isFromRelay && to != relayHost(i))
                continue;
            if (relay.isFrozen)
                (isFromRelay ? relay.unsent : relay.unread).push_back(payload);
            else
                (isFromRelay ? this->leader : relay.relay)->onMessage(from, payload);
            return;
        }
    }

    FakeClock& clock;
    std::unique_ptr<OrderRelay> leader; ///< Shared by all leaders of a test.
    std::vector<Relay> relays;
};

} // namespace cornelpond
