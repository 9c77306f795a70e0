#pragma once

// Passes all orders on. A base for fakes that change or hold some of them.
//
// Example:
//   class LosingStarts final : public ForwardingOrders {
//   public:
//       using ForwardingOrders::ForwardingOrders;
//       void start(WorkerTarget const&, StartOrder const&, Done) override { }
//   };

#include "cornelpond/ports/WorkerOrders.h"

#include <utility>

namespace cornelpond {

class ForwardingOrders : public WorkerOrders {
public:
    /// `fleet` must outlive the object.
    explicit ForwardingOrders(WorkerOrders& fleet)
        : fleet(fleet)
    {
    }

    void start(WorkerTarget const& worker, StartOrder const& order, Done done) override { this->fleet.start(worker, order, std::move(done)); }
    void stop(WorkerTarget const& worker, StopOrder const& order, Done done) override { this->fleet.stop(worker, order, std::move(done)); }
    void throttle(WorkerTarget const& worker, ThrottleOrder const& order, Done done) override { this->fleet.throttle(worker, order, std::move(done)); }
    void renew(WorkerTarget const& worker, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override { this->fleet.renew(worker, order, std::move(done)); }
    void requestPermits(TaskRef const& stage, std::vector<WorkerId> const& workers, Duration timeout, std::function<void(PermitAnswer const&)> done) override
    {
        this->fleet.requestPermits(stage, workers, timeout, std::move(done));
    }

protected:
    WorkerOrders& fleet;
};

} // namespace cornelpond
