#pragma once

// Hosts that relay each other's orders to a simulated fleet, as in operation: each host passes the orders that it sends as the leader to
// the others, and carries out theirs. A test can freeze or restart a host, cut links between hosts and paths from hosts to workers, and
// delay, lose or repeat what travels on a path.
//
// Example:
//   RelayNetwork network(clock, fleet, random, 3);
//   network.setLeader([&] { return group.leader(); });
//   network.freeze(1);
//   service.start(...); // sends its orders through the network

#include "cornelpond/core/base/StableHash.h"
#include "cornelpond/core/relay/OrderRelay.h"
#include "cornelpond/ports/Random.h"
#include "testing/fakes/FakeClock.h"
#include "testing/fakes/ForwardingOrders.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cornelpond {

/// Faults on the path from a host to a worker.
struct PathFaults {
    bool losesOrders = false;
    bool losesAnswers = false;
    bool losesStops = false;
    bool losesRenewals = false;
    double lateRenewalShare = 0; ///< Renewals that get no answer and are carried out seconds later.
    Duration maxDelay; ///< Of each order, and of each answer: they may overtake one another.
};

/// The path from one host to all workers.
class FaultyPath final : public ForwardingOrders {
public:
    FaultyPath(FakeClock& clock, WorkerOrders& fleet, Random& random)
        : ForwardingOrders(fleet)
        , clock(clock)
        , random(random)
    {
    }

    void start(WorkerTarget const& worker, StartOrder const& order, Done done) override
    {
        this->pass(
            worker, Duration(), false, [this, worker, order](Done answer) { this->fleet.start(worker, order, std::move(answer)); }, std::move(done));
    }

    void stop(WorkerTarget const& worker, StopOrder const& order, Done done) override
    {
        this->pass(
            worker, Duration(), this->faults[worker.id].losesStops, [this, worker, order](Done answer) { this->fleet.stop(worker, order, std::move(answer)); }, std::move(done));
    }

    void throttle(WorkerTarget const& worker, ThrottleOrder const& order, Done done) override
    {
        this->pass(
            worker, Duration(), false, [this, worker, order](Done answer) { this->fleet.throttle(worker, order, std::move(answer)); }, std::move(done));
    }

    void renew(WorkerTarget const& worker, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override
    {
        bool const isLate = this->random.nextDouble() < this->faults[worker.id].lateRenewalShare;
        if (isLate) {
            auto const delay = Duration::milliseconds(2000 + static_cast<int64_t>(this->random.below(10000)));
            this->clock.after(delay, [this, worker, order] { this->fleet.renew(worker, order, [](RenewAnswer const&) {}); });
        }
        bool const isLost = isLate || this->faults[worker.id].losesRenewals;
        this->pass(
            worker, order.maxWait, isLost, [this, worker, order](std::function<void(RenewAnswer const&)> answer) { this->fleet.renew(worker, order, std::move(answer)); }, std::move(done));
    }

    std::map<WorkerId, PathFaults> faults;

private:
    Duration drawDelay(PathFaults const& given)
    {
        return Duration::microseconds(static_cast<int64_t>(this->random.below(static_cast<uint64_t>(given.maxDelay.toMicroseconds()) + 1)));
    }

    /// Sends an order and passes its answer on, or an unknown result after the timeout. `isLost`: the order itself is lost.
    template <typename Send, typename Answer>
    void pass(WorkerTarget const& worker, Duration maxWait, bool isLost, Send send, std::function<void(Answer const&)> done)
    {
        PathFaults const& given = this->faults[worker.id];
        auto const isAnswered = std::make_shared<bool>(false);
        auto const finish = [isAnswered, done = std::move(done)](Answer const& answer) {
            if (!std::exchange(*isAnswered, true))
                done(answer);
        };
        this->clock.after(maxWait + DispatchTimes().orderTimeout, [finish] { finish(Answer()); });
        if (isLost || given.losesOrders)
            return;
        this->clock.after(this->drawDelay(given), [this, id = worker.id, send = std::move(send), finish] {
            send([this, id, finish](Answer const& answer) {
                PathFaults const& now = this->faults[id];
                if (!now.losesAnswers)
                    this->clock.after(this->drawDelay(now), [finish, answer] { finish(answer); });
            });
        });
    }

    FakeClock& clock;
    Random& random;
};

class RelayNetwork final : public WorkerOrders {
public:
    /// References must outlive the object.
    RelayNetwork(FakeClock& clock, WorkerOrders& fleet, Random& random, size_t hostCount)
        : clock(clock)
        , random(random)
    {
        for (size_t i = 0; i < hostCount; i++) {
            auto host = std::make_unique<Host>();
            host->path = std::make_unique<FaultyPath>(clock, fleet, random);
            this->hosts.push_back(std::move(host));
            this->startRelay(i);
        }
    }

    /// `leader` returns the host by which orders are sent.
    void setLeader(std::function<size_t()> leader) { this->leader = std::move(leader); }

    PathFaults& path(size_t host, WorkerId const& worker) { return this->hosts[host]->path->faults[worker]; }

    /// Ends the faults of all paths.
    void healPaths()
    {
        for (auto const& host : this->hosts)
            host->path->faults.clear();
    }

    /// A frozen host reads and sends nothing, and carries out what it was sent once it thaws.
    void freeze(size_t index)
    {
        this->hosts[index]->isFrozen = true;
        for (size_t peer = 0; peer < this->hosts.size(); peer++)
            this->scheduleSilenceCheck(index, peer);
    }

    void thaw(size_t index)
    {
        Host& thawed = *this->hosts[index];
        thawed.isFrozen = false;
        for (auto const& [from, payload] : std::exchange(thawed.unread, {}))
            thawed.relay->onMessage(hostId(from), payload);
        for (auto const& [to, payload] : std::exchange(thawed.unsent, {}))
            this->deliver(index, to, payload);
        this->reconnect();
    }

    /// A new process of the host, which remembers nothing. What was sent to the former one is lost.
    void restart(size_t index)
    {
        Host& host = *this->hosts[index];
        host.isFrozen = false;
        host.unread.clear();
        host.unsent.clear();
        host.process++;
        host.lost.clear();
        this->startRelay(index);
        for (size_t peer = 0; peer < this->hosts.size(); peer++) {
            if (peer != index)
                this->hosts[peer]->relay->onPeerDown(hostId(index));
        }
        this->reconnect();
    }

    /// Messages on a cut link are lost, and both hosts notice after a while.
    void setCut(size_t a, size_t b, bool isCut)
    {
        Link const link = linkOf(a, b);
        if (!isCut) {
            this->cutLinks.erase(link);
            this->reconnect();
            return;
        }
        this->cutLinks.insert(link);
        this->scheduleSilenceCheck(a, b);
    }

    void healLinks()
    {
        this->cutLinks.clear();
        this->reconnect();
    }

    void start(WorkerTarget const& worker, StartOrder const& order, Done done) override { this->sender().start(worker, order, std::move(done)); }
    void stop(WorkerTarget const& worker, StopOrder const& order, Done done) override { this->sender().stop(worker, order, std::move(done)); }
    void throttle(WorkerTarget const& worker, ThrottleOrder const& order, Done done) override { this->sender().throttle(worker, order, std::move(done)); }
    void renew(WorkerTarget const& worker, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override { this->sender().renew(worker, order, std::move(done)); }
    void requestPermits(TaskRef const& stage, std::vector<WorkerId> const& workers, Duration timeout, std::function<void(PermitAnswer const&)> done) override
    {
        this->sender().requestPermits(stage, workers, timeout, std::move(done));
    }

private:
    using Link = std::pair<size_t, size_t>; ///< The lower index first.

    struct Host {
        std::unique_ptr<FaultyPath> path;
        std::unique_ptr<OrderRelay> relay;
        bool isFrozen = false;
        unsigned process = 0;
        std::set<size_t> lost; ///< Hosts that it knows to be out of reach.
        std::vector<std::pair<size_t, std::string>> unread; ///< Messages that arrived while it was frozen, with their sender.
        std::vector<std::pair<size_t, std::string>> unsent; ///< Messages that it would have sent meanwhile, with their receiver.
    };

    static constexpr Duration linkDelay = Duration::milliseconds(2);
    static constexpr Duration silenceThreshold = Duration::milliseconds(600);

    static HostId hostId(size_t index) { return HostId("h" + std::to_string(index)); }
    static size_t indexOf(HostId const& host) { return std::stoul(host.value().substr(1)); }
    static Link linkOf(size_t a, size_t b) { return { std::min(a, b), std::max(a, b) }; }

    OrderRelay& sender() { return *this->hosts[this->leader()]->relay; }

    void startRelay(size_t index)
    {
        OrderRelayHooks hooks;
        hooks.relayFor = [this, index](WorkerTarget const& worker) { return this->relayFor(index, worker); };
        hooks.isReachable = [this, index](HostId const& host) { return !this->hosts[index]->lost.count(indexOf(host)); };
        hooks.knowsListingChanges = [](HostId const&) { return true; };
        hooks.knowsDeadlines = [](HostId const&) { return true; };
        hooks.knowsProcesses = [](HostId const&) { return true; };
        hooks.send = [this, index](HostId const& to, std::string payload) { this->send(index, indexOf(to), std::move(payload)); };
        this->hosts[index]->relay = std::make_unique<OrderRelay>(this->clock, this->clock, *this->hosts[index]->path, DispatchTimes(), this->random.next(), hooks);
    }

    HostId relayFor(size_t self, WorkerTarget const& worker) const
    {
        std::vector<size_t> reachable;
        for (size_t i = 0; i < this->hosts.size(); i++) {
            if (!this->hosts[self]->lost.count(i))
                reachable.push_back(i);
        }
        size_t const chosen = reachable[stableHash(worker.id.value(), 0) % reachable.size()];
        return chosen == self ? HostId() : hostId(chosen);
    }

    void send(size_t from, size_t to, std::string payload)
    {
        if (this->hosts[from]->isFrozen) {
            this->hosts[from]->unsent.emplace_back(to, std::move(payload));
            return;
        }
        this->clock.after(linkDelay, [this, from, to, process = this->hosts[to]->process, payload = std::move(payload)] {
            if (this->hosts[to]->process == process)
                this->deliver(from, to, payload);
        });
    }

    void deliver(size_t from, size_t to, std::string const& payload)
    {
        if (this->cutLinks.count(linkOf(from, to)))
            return;
        Host& receiver = *this->hosts[to];
        if (receiver.isFrozen)
            receiver.unread.emplace_back(from, payload);
        else
            receiver.relay->onMessage(hostId(from), payload);
    }

    bool isLinkSilent(size_t a, size_t b) const { return this->cutLinks.count(linkOf(a, b)) || this->hosts[a]->isFrozen || this->hosts[b]->isFrozen; }

    void scheduleSilenceCheck(size_t a, size_t b)
    {
        if (a == b)
            return;
        this->clock.after(silenceThreshold, [this, a, b] {
            if (!this->isLinkSilent(a, b))
                return;
            this->noteLost(a, b);
            this->noteLost(b, a);
        });
    }

    void noteLost(size_t self, size_t peer)
    {
        Host& host = *this->hosts[self];
        if (!host.isFrozen && host.lost.insert(peer).second)
            host.relay->onPeerDown(hostId(peer));
    }

    void reconnect()
    {
        for (size_t self = 0; self < this->hosts.size(); self++) {
            for (size_t peer = 0; peer < this->hosts.size(); peer++) {
                if (!this->isLinkSilent(self, peer))
                    this->hosts[self]->lost.erase(peer);
            }
        }
    }

    FakeClock& clock;
    Random& random;
    std::function<size_t()> leader = [] { return size_t(0); };
    std::vector<std::unique_ptr<Host>> hosts;
    std::set<Link> cutLinks;
};

} // namespace cornelpond
