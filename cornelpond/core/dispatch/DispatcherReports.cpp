// Log lines about changes of leader, processes of workers and attempts of tasks.

#include "cornelpond/core/dispatch/Dispatcher.h"

namespace cornelpond {

void Dispatcher::reportTakeOver()
{
    size_t attempts = 0;
    for (auto const& [id, view] : this->views)
        attempts += view.placed.size();
    this->events.emit(Event(EventId::AttemptsInherited)
                          .with("attempts", attempts)
                          .with("workers", this->views.size())
                          .with("workersWithFormerOrders", this->formerOrderWorkers().mayReceive)
                          .with("epoch", this->epoch.value() * generationsPerEpoch));
}

void Dispatcher::reportFormerOrders(WorkerView const& view, char const* source)
{
    TimePoint const now = this->clock.now();
    this->events.emit(Event(EventId::FormerOrdersCounted)
                          .with("worker", view.profile.id)
                          .with("source", source)
                          .with("bornMs", view.profile.bornMs)
                          .with("epoch", this->orderEpoch(view))
                          .with("formerOrdersLeaseMs", view.formerOrdersLeaseEnd - now));
}

void Dispatcher::reportConcludedWithoutWorker(TaskRef const& task, AttemptNumber attempt, WorkerId const& worker, bool isInherited)
{
    this->events.emit(Event(EventId::AttemptConcluded)
                          .with("task", task.text())
                          .with("attempt", attempt)
                          .with("worker", worker)
                          .with("reason", "worker not known")
                          .with("inherited", static_cast<int>(isInherited)));
}

/// The leader logs each attempt when it decides on it; the other hosts keep a trace of those that replace an earlier one.
void Dispatcher::reportFurtherAttempt(CommitStart const& start)
{
    if (start.attempt > AttemptNumber(1))
        this->events.emit(Event(EventId::FurtherAttemptCommitted).with("task", start.task.text()).with("attempt", start.attempt).with("worker", start.worker));
}

void Dispatcher::reportStray(WorkerView const& view, AttemptKey const& key)
{
    TaskRecord const* task = this->jobs.findTask(key.first);
    this->events.emit(Event(EventId::StrayAttempt)
                          .with("worker", view.profile.id)
                          .with("task", key.first.text())
                          .with("attempt", key.second)
                          .with("state", std::string(this->jobs.stateName(key.first.job)))
                          .with("lastAttempt", task ? task->lastAttempt : AttemptNumber()));
}

void Dispatcher::reportAnsweringProcess(WorkerView const& view, AttemptKey const& key, SendContext const& sent, OrderAnswer const& answer)
{
    if (!isFromLaterProcess(sent, answer))
        return;
    this->processTotals.startsByOtherProcess++;
    this->events.emit(Event(EventId::StartByOtherProcess)
                          .with("task", key.first.text())
                          .with("attempt", key.second)
                          .with("worker", view.profile.id)
                          .with("processBornMs", sent.bornMs)
                          .with("result", std::string(orderResultName(answer.result)))
                          .with("clockMs", answer.workerClock)
                          .with("expectedClockMs", sent.workerClock)
                          .with("sinceSentMs", this->clock.now() - sent.at));
}

} // namespace cornelpond
