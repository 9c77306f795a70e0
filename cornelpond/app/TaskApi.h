#pragma once

// The API of submitters and operators for tasks.
//
//   POST /v1/tasks                     TaskSpec; idempotent by the task's id
//   GET  /v1/tasks?selector=&state=    the tasks that match both; empty matches all
//   GET  /v1/tasks/ID                  one task
//   GET  /v1/explain/ID                why the task is on its worker, or why it waits
//   POST /v1/cancel                    {"task"} or {"selector"}
//   POST /v1/drain                     {"worker", "drained"}

#include "cornelpond/app/Api.h"
#include "cornelpond/core/tasks/Scheduler.h"

#include <functional>

namespace cornelpond {

class TaskApi {
public:
    /// `scheduler` must outlive the API. While `isDraining` returns true, no task is accepted.
    TaskApi(Scheduler& scheduler, JsonLimits limits, std::function<bool()> isDraining)
        : scheduler(scheduler)
        , limits(limits)
        , isDraining(std::move(isDraining))
    {
    }

    void addRoutes(ApiRouter& router);

private:
    void listTasks(ApiCall const& call);
    void cancelTasks(ApiCall const& call);
    void drainWorker(ApiCall const& call);

    Scheduler& scheduler;
    JsonLimits limits;
    std::function<bool()> isDraining;
};

} // namespace cornelpond
