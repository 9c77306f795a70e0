// Renewals: the lease that each asks for, and what an answer or its lack says of the worker.

#include "cornelpond/core/dispatch/Dispatcher.h"

#include <algorithm>

namespace cornelpond {

void Dispatcher::renewWhenDue(WorkerView& view)
{
    TimePoint const now = this->clock.now();
    if (!view.isRenewalInFlight && now >= view.nextRenewalAt && now >= view.renewalHeldUntil)
        this->sendRenewal(view);
}

void Dispatcher::sendRenewal(WorkerView& view)
{
    TimePoint const now = this->clock.now();
    bool const isSilent = now - view.lastAnswerAt > this->times.silenceTimeout;
    this->acknowledgeEnds(view);
    RenewOrder order;
    order.epoch = this->orderEpoch(view);
    order.acknowledgedEnds = view.acknowledgedEnds > view.deliveredAcknowledgedEnds ? view.acknowledgedEnds : 0;
    order.processBornMs = view.listingBornMs;
    order.extendsLease = view.hasClock && !isSilent && !view.consecutiveRenewalFailures;
    order.maxWait = view.hasListing && !view.mayReceiveFormerOrders && !view.consecutiveRenewalFailures && view.listedEnds.empty() ? this->times.longPollWait : Duration();
    this->noteOpenStops(view);
    TimePoint const leaseBase = view.leaseBase(now);
    order.extendsLease &= leaseBase + this->times.leaseDuration > now;
    if (order.extendsLease) {
        order.leaseUntil = view.estimatedClock(leaseBase) + this->times.leaseDuration;
        view.lastLeaseExtensionAt = std::max(view.lastLeaseExtensionAt, leaseBase);
    }
    view.isRenewalInFlight = true;
    this->orders.renew(view.target(), order, [this, token = WeakLeadershipToken(this->leadershipToken), worker = view.profile.id, sent = this->sendContext(view)](RenewAnswer const& answer) {
        if (!token.expired())
            this->onRenewalAnswered(worker, sent, answer);
    });
}

void Dispatcher::onRenewalAnswered(WorkerId const& worker, SendContext const& sent, RenewAnswer const& answer)
{
    WorkerView* view = this->findWorker(worker);
    if (!view)
        return;
    view->isRenewalInFlight = false;
    if (answer.order.result != OrderResult::Accepted) {
        this->onRenewalFailed(*view, sent.generation, answer.order.result);
        return;
    }
    bool const isFromOldIncarnation = view->generation != sent.generation && answer.listing.bornMs == sent.bornMs;
    bool const isFromOtherAddress = view->addressChangedAt && sent.at < *view->addressChangedAt;
    if (isFromOldIncarnation || isFromOtherAddress) {
        view->nextRenewalAt = this->clock.now();
        return;
    }
    if (view->consecutiveRenewalFailures)
        this->events.emit(Event(EventId::WorkerReached).with("worker", worker).with("silentMs", this->clock.now() - view->lastAnswerAt));
    if (view->generation == sent.generation)
        view->deliveredAcknowledgedEnds = std::max(view->deliveredAcknowledgedEnds, answer.acknowledgedEnds);
    this->updateClock(*view, answer.order, answer.listing.bornMs);
    this->handleListing(*view, sent, answer.listing);
}

void Dispatcher::onRenewalFailed(WorkerView& view, uint64_t generation, OrderResult result)
{
    TimePoint const now = this->clock.now();
    this->countRefused(view, generation, result);
    if (view.generation != generation) {
        if (result == OrderResult::RefusedEpoch)
            this->events.emit(Event(EventId::OrderFailed).with("order", "renewal").with("worker", view.profile.id).with("result", std::string(orderResultName(result))).with("formerProcess", 1));
        view.nextRenewalAt = now; // The renewal was sent to an earlier incarnation, and tells nothing of this one.
        return;
    }
    if (result == OrderResult::RefusedEpoch) {
        this->onHigherEpoch(view);
        return;
    }
    if (result == OrderResult::OtherLife) {
        this->removeReplacedWorker(view);
        return;
    }
    if (!view.consecutiveRenewalFailures)
        this->events.emit(Event(EventId::WorkerSilent).with("worker", view.profile.id).with("result", std::string(orderResultName(result))).with("sinceAnswerMs", now - view.lastAnswerAt));
    view.consecutiveRenewalFailures++;
    view.nextRenewalAt = now + std::min(this->times.minRetryDelay * static_cast<int64_t>(view.consecutiveRenewalFailures), this->times.maxRetryDelay);
}

/// The worker has seen a higher epoch and refuses this leader's orders: sends it no more.
void Dispatcher::onHigherEpoch(WorkerView& view)
{
    if (view.hasHigherEpoch)
        return;
    view.hasHigherEpoch = true;
    this->events.emit(Event(EventId::WorkerSuperseded).with("worker", view.profile.id).with("epoch", this->epoch));
}

} // namespace cornelpond
