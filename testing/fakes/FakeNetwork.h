#pragma once

// A simulated network between hosts that can delay, lose, duplicate and reorder messages, and cut one direction
// of a link.
//
// Example:
//   FakeNetwork network(clock, random);
//   network.faults.loss = 0.1;
//   network.cut(HostId("a"), HostId("b")); // from a to b only
//   network.send(HostId("a"), HostId("b"), bytes);
//   network.deliverDue([](HostId const& from, HostId const& to, std::string const& bytes) { ... });

#include "cornelpond/core/base/Ids.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/Random.h"

#include <functional>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>

namespace cornelpond {

struct NetworkFaults {
    Duration delayMin;
    Duration delayMax; ///< Messages may be reordered if it is larger than `delayMin`.
    double loss = 0; ///< Probability that a message is lost.
    double duplication = 0; ///< Probability that a message is delivered twice.
};

class FakeNetwork {
public:
    using Deliver = std::function<void(HostId const& from, HostId const& to, std::string const& bytes)>;

    FakeNetwork(Clock const& clock, Random& random)
        : clock(clock)
        , random(random)
    {
    }

    void send(HostId const& from, HostId const& to, std::string bytes)
    {
        this->sentMessages++;
        this->sentBytes += bytes.size();
        if (this->cuts.count({ from, to }) || this->random.nextDouble() < this->faults.loss)
            return;
        if (this->random.nextDouble() < this->faults.duplication)
            this->enqueue(from, to, bytes);
        this->enqueue(from, to, std::move(bytes));
    }

    void deliverDue(Deliver const& deliver)
    {
        while (!this->queue.empty() && this->queue.begin()->first.first <= this->clock.now()) {
            auto const entry = this->queue.extract(this->queue.begin());
            Message const& message = entry.mapped();
            if (!this->cuts.count({ message.from, message.to }))
                deliver(message.from, message.to, message.bytes);
        }
    }

    /// Drops all messages in one direction, including those in flight, until `heal`.
    void cut(HostId const& from, HostId const& to) { this->cuts.emplace(from, to); }

    void isolate(HostId const& host, std::set<HostId> const& others)
    {
        for (auto const& other : others) {
            this->cut(host, other);
            this->cut(other, host);
        }
    }

    void heal() { this->cuts.clear(); }

    uint64_t messageCount() const { return this->sentMessages; }
    uint64_t byteCount() const { return this->sentBytes; }

    NetworkFaults faults;

private:
    /// More messages in flight than this indicate a fault of the protocol.
    static constexpr size_t maxQueuedMessages = 20000;

    struct Message {
        HostId from;
        HostId to;
        std::string bytes;
    };

    void enqueue(HostId const& from, HostId const& to, std::string bytes)
    {
        auto const spread = static_cast<uint64_t>((this->faults.delayMax - this->faults.delayMin).toMicroseconds());
        Duration const delay = this->faults.delayMin + Duration::microseconds(static_cast<int64_t>(this->random.below(spread + 1)));
        if (this->queue.size() > maxQueuedMessages)
            throw std::runtime_error("too many messages in flight");
        this->queue.emplace(std::make_pair(this->clock.now() + delay, this->nextMessage++), Message { from, to, std::move(bytes) });
    }

    Clock const& clock;
    Random& random;
    std::map<std::pair<TimePoint, uint64_t>, Message> queue;
    std::set<std::pair<HostId, HostId>> cuts;
    uint64_t nextMessage = 0;
    uint64_t sentMessages = 0;
    uint64_t sentBytes = 0;
};

} // namespace cornelpond
