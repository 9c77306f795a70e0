#include "cornelpond/app/TaskApi.h"

#include "cornelpond/core/tasks/TaskJson.h"

#include <nlohmann/json.hpp>

namespace cornelpond {

namespace {

    constexpr size_t maxListedTasks = 10000;

    void answerTaskResult(ApiCall const& call, OperationResult const& result)
    {
        if (result.code != ResultCode::Ok) {
            call.answer(refusal(result.code, result.message));
            return;
        }
        call.answer(jsonResponse(200, { { "code", 0 }, { "message", result.message } }));
    }

} // namespace

void TaskApi::addRoutes(ApiRouter& router)
{
    router.add("POST", "/v1/tasks", [this](ApiCall const& call) {
        if (this->isDraining())
            throw Error(ResultCode::ShuttingDown, "this host is draining");
        TaskSpec const spec = taskSpecFromJson(call.body(this->limits));
        this->scheduler.submit(spec, [call](OperationResult const& result) { answerTaskResult(call, result); });
    });
    router.add("GET", "/v1/tasks", [this](ApiCall const& call) { this->listTasks(call); });
    router.add("GET", "/v1/tasks/*", [this](ApiCall const& call) {
        Task const* task = this->scheduler.table().find(TaskId(call.wildcardMatch));
        if (!task)
            throw Error(ResultCode::NotFound, "no task '" + call.wildcardMatch + "'");
        call.answer(jsonResponse(200, cornelpond::toJson(*task)));
    });
    router.add("GET", "/v1/explain/*", [this](ApiCall const& call) {
        Task const* task = this->scheduler.table().find(TaskId(call.wildcardMatch));
        if (!task)
            throw Error(ResultCode::NotFound, "no task '" + call.wildcardMatch + "'");
        call.answer(jsonResponse(200,
            { { "task", call.wildcardMatch }, { "state", std::string(taskStateName(task->state)) }, { "worker", task->worker.value() }, { "reason", this->scheduler.explain(*task).reason } }));
    });
    router.add("POST", "/v1/cancel", [this](ApiCall const& call) { this->cancelTasks(call); });
    router.add("POST", "/v1/drain", [this](ApiCall const& call) { this->drainWorker(call); });
}

void TaskApi::listTasks(ApiCall const& call)
{
    Selector const selector = Selector::parse(call.parameter("selector"));
    std::string const state = call.parameter("state");
    nlohmann::json tasks = nlohmann::json::array();
    bool isComplete = true;
    for (auto const& [id, task] : this->scheduler.table().all()) {
        if (!selector.matches(task.spec.labels) || (!state.empty() && taskStateName(task.state) != state))
            continue;
        if (tasks.size() >= maxListedTasks) {
            isComplete = false;
            break;
        }
        tasks.push_back(cornelpond::toJson(task));
    }
    call.answer(jsonResponse(200, { { "tasks", std::move(tasks) }, { "complete", isComplete } }));
}

void TaskApi::cancelTasks(ApiCall const& call)
{
    nlohmann::json const body = call.body(this->limits);
    auto const done = [call](OperationResult const& result) { answerTaskResult(call, result); };
    if (body.is_object() && body.contains("selector")) {
        std::string const text = stringAt(body, "selector");
        if (text.find_first_not_of(" \t\r\n") == std::string::npos)
            throw Error(ResultCode::BadSelector, "selector: an empty selector would cancel every task");
        this->scheduler.cancelMatching(Selector::parse(text), done);
        return;
    }
    this->scheduler.cancel(TaskId(stringAt(body, "task")), done);
}

void TaskApi::drainWorker(ApiCall const& call)
{
    nlohmann::json const body = call.body(this->limits);
    bool const isDrained = !body.is_object() || body.value("drained", true);
    this->scheduler.setDrained(WorkerId(stringAt(body, "worker")), isDrained, [call](OperationResult const& result) { answerTaskResult(call, result); });
}

} // namespace cornelpond
