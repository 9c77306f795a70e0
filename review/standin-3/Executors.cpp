#include "review/standin-3/Executors.h"

#include <algorithm>
#include <chrono>

namespace review {

using Json = nlohmann::json;

namespace {

    /// The number behind `name` in a task's spec; 0 without one.
    int64_t specNumber(std::string const& spec, std::string const& name)
    {
        size_t const at = spec.find(name);
        return at == std::string::npos ? 0 : std::stoll(spec.substr(at + name.size()));
    }

    /// "ID.K.STEP" of "ID.K.STEP.INDEX".
    std::string stepOf(std::string const& task)
    {
        return task.substr(0, task.rfind('.'));
    }

    HttpAnswer answer(int status, Json const& body)
    {
        return { status, body.dump() };
    }

} // namespace

Executors::Executors(Record& record, std::vector<std::string> controlAddresses, Bounds bounds)
    : record(record)
    , controlAddresses(std::move(controlAddresses))
    , bounds(bounds)
    , ticker([this] { this->tick(); })
{
}

Executors::~Executors()
{
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        this->isEnding = true;
        this->changed.notify_all();
    }
    this->ticker.join();
    for (auto& [id, executor] : this->executors) {
        executor->heart.join();
        executor->server->close();
    }
}

void Executors::setNeed(std::string const& job, int64_t cpu)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->needs[job] = cpu;
}

void Executors::add(ExecutorSpec const& spec)
{
    auto owned = std::make_unique<Executor>();
    Executor& executor = *owned;
    executor.spec = spec;
    executor.bornWallMs = wallMs();
    executor.bornSteadyMs = steadyMs();
    this->startServer(executor);
    executor.heart = std::thread([this, &executor] { this->checkIn(executor, 0); });
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->executors.emplace(spec.id, std::move(owned));
}

void Executors::startServer(Executor& executor)
{
    executor.server = std::make_unique<HttpServer>(executor.spec.ip, executor.spec.port, [this, &executor](HttpMessage const& request) { return this->handle(executor, request); });
}

void Executors::cut(std::string const& executor, bool isCut)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->executors.at(executor)->isCut = isCut;
    this->record.add(executor, isCut ? "is cut off" : "is reachable again");
    this->changed.notify_all();
}

void Executors::crash(std::string const& executor)
{
    Executor* crashed = nullptr;
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        crashed = this->executors.at(executor).get();
        crashed->isCrashed = true;
        this->record.add(executor, "crashes");
        auto const ended = std::move(crashed->running);
        crashed->running.clear();
        for (auto const& [task, run] : ended) {
            this->history[run.record].endedMs = steadyMs();
            this->history[run.record].how = "crashed";
            if (run.gangSize)
                this->breakGang(stepOf(task), run.number);
        }
        this->changed.notify_all();
    }
    crashed->server->close();
}

void Executors::restart(std::string const& executor, int64_t downMs, std::vector<std::string> const& labels)
{
    this->crash(executor);
    Executor* const restarted = this->executors.at(executor).get();
    restarted->heart.join();
    sleepMs(downMs);
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        restarted->spec.labels = labels;
        restarted->bornWallMs = wallMs();
        restarted->bornSteadyMs = steadyMs();
        restarted->fence = restarted->sequence = restarted->lastEnd = 0;
        restarted->leaseUntilMs = 0;
        restarted->closedRuns.clear();
        restarted->ended.clear();
        restarted->isCrashed = false;
        this->record.add(executor, "is back as kind " + labels.front());
    }
    constexpr int64_t marginMs = 100;
    this->startServer(*restarted);
    restarted->heart = std::thread([this, restarted] { this->checkIn(*restarted, this->bounds.heartbeatMs - marginMs); });
}

bool Executors::hasLabel(std::string const& executor, std::string const& label)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    Executor const& asked = *this->executors.at(executor);
    auto const& labels = asked.spec.labels;
    return !asked.isCrashed && std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool Executors::areAllReached()
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    return std::all_of(this->executors.begin(), this->executors.end(), [](auto const& entry) { return entry.second->isReached; });
}

std::vector<RunRecord> Executors::runs()
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    return this->history;
}

std::vector<RunRecord> Executors::runsOf(std::string const& prefix)
{
    std::vector<RunRecord> found;
    for (auto const& run : this->runs()) {
        if (run.task.compare(0, prefix.size(), prefix) == 0)
            found.push_back(run);
    }
    return found;
}

bool Executors::isRunning(std::string const& prefix)
{
    auto const found = this->runsOf(prefix);
    return std::any_of(found.begin(), found.end(), [](RunRecord const& run) { return !run.endedMs; });
}

/// What is under way in a cut is lost: its sender has closed the connection by the end of the cut.
void Executors::waitWhileCut(Executor const& executor, std::unique_lock<std::mutex>& lock)
{
    this->changed.wait(lock, [&] { return !executor.isCut || executor.isCrashed || this->isEnding; });
}

std::optional<HttpAnswer> Executors::handle(Executor& executor, HttpMessage const& request)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    if (executor.isUnreachable()) {
        this->waitWhileCut(executor, lock);
        return std::nullopt;
    }
    auto const expected = request.fields.find("x-expected-instance");
    if (expected != request.fields.end() && expected->second != executor.spec.id)
        return answer(421, Json::object());
    Json const body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return answer(400, Json::object());
    HttpAnswer given = this->answerOrder(executor, request, body, lock);
    if (executor.isUnreachable()) {
        this->waitWhileCut(executor, lock);
        return std::nullopt;
    }
    return given;
}

HttpAnswer Executors::answerOrder(Executor& executor, HttpMessage const& request, Json const& body, std::unique_lock<std::mutex>& lock)
{
    uint64_t const fence = body.value("fencing-token", uint64_t());
    if (fence < executor.fence)
        return answer(409, { { "clock-ms", executor.clockMs() }, { "reason", "fence" } });
    executor.fence = fence;
    if (request.path == "/v1/run-start")
        return this->start(executor, body);
    if (request.path == "/v1/run-stop")
        return this->stop(executor, body);
    if (request.path == "/v1/hold")
        return this->hold(executor, body, lock);
    if (request.path == "/v1/pace")
        return answer(200, { { "clock-ms", executor.clockMs() } });
    return answer(404, Json::object());
}

void Executors::extendLease(Executor& executor, Json const& body, int64_t maxHoldMs)
{
    if (body.contains("until-ms"))
        executor.leaseUntilMs = std::max(executor.leaseUntilMs, std::min(body["until-ms"].get<int64_t>(), executor.clockMs() + maxHoldMs));
}

HttpAnswer Executors::start(Executor& executor, Json const& body)
{
    std::string const task = body.at("task").get<std::string>();
    uint64_t const number = body.at("run").get<uint64_t>();
    auto const refuse = [&](char const* reason) {
        this->record.add(executor.spec.id, "refuses the start of " + task + " run " + std::to_string(number) + ": " + reason);
        return answer(409, { { "clock-ms", executor.clockMs() }, { "reason", reason } });
    };
    if (body.at("until-ms").get<int64_t>() <= executor.clockMs())
        return refuse("late");
    extendLease(executor, body, this->bounds.maxHoldMs);
    auto const present = executor.running.find(task);
    if (present != executor.running.end() && present->second.number == number)
        return answer(200, { { "clock-ms", executor.clockMs() } });
    auto const closed = executor.closedRuns.find(task);
    bool const isClosed = closed != executor.closedRuns.end() && number <= closed->second;
    if (isClosed || present != executor.running.end())
        return refuse("old");
    int64_t const need = this->needs[task.substr(0, task.find('.'))];
    int64_t used = 0;
    for (auto const& [other, run] : executor.running)
        used += run.cpu;
    if (used + need > executor.spec.cpu)
        return refuse("room");
    std::string const spec = body.value("task-spec", "");
    Run run;
    run.record = this->history.size();
    run.number = number;
    run.cpu = need;
    run.workMs = specNumber(spec, "ms=");
    run.gangSize = static_cast<size_t>(specNumber(spec, "gang="));
    run.startedMs = steadyMs();
    run.workingSinceMs = run.gangSize ? -1 : run.startedMs;
    this->history.push_back({ task, number, executor.spec.id, run.startedMs, 0, "" });
    executor.running[task] = run;
    this->record.add(executor.spec.id, "starts " + task + " run " + std::to_string(number));
    if (run.gangSize)
        this->startWorkOfGang(stepOf(task), number, run.gangSize);
    return answer(200, { { "clock-ms", executor.clockMs() } });
}

/// The members of a gang work from the moment when all are present.
void Executors::startWorkOfGang(std::string const& step, uint64_t run, size_t size)
{
    std::vector<Run*> members;
    for (auto& [id, executor] : this->executors) {
        for (auto& [task, member] : executor->running) {
            if (stepOf(task) == step && member.number == run)
                members.push_back(&member);
        }
    }
    for (auto* member : members) {
        if (members.size() == size && member->workingSinceMs < 0)
            member->workingSinceMs = steadyMs();
    }
}

HttpAnswer Executors::stop(Executor& executor, Json const& body)
{
    std::string const task = body.at("task").get<std::string>();
    uint64_t const number = body.at("run").get<uint64_t>();
    uint64_t& closed = executor.closedRuns[task];
    closed = std::max(closed, number);
    auto const found = executor.running.find(task);
    if (found != executor.running.end() && found->second.number <= number && found->second.stopAtMs < 0)
        found->second.stopAtMs = steadyMs() + this->bounds.stopMs;
    return answer(200, { { "clock-ms", executor.clockMs() } });
}

HttpAnswer Executors::hold(Executor& executor, Json const& body, std::unique_lock<std::mutex>& lock)
{
    executor.isReached = true;
    extendLease(executor, body, this->bounds.maxHoldMs);
    uint64_t const lastSeen = body.value("last-seen", uint64_t());
    auto& ended = executor.ended;
    ended.erase(std::remove_if(ended.begin(), ended.end(), [&](End const& end) { return end.number <= lastSeen; }), ended.end());
    int64_t const untilMs = steadyMs() + body.value("wait-ms", int64_t());
    while (ended.empty() && !executor.isUnreachable() && !this->isEnding && steadyMs() < untilMs)
        this->changed.wait_for(lock, std::chrono::milliseconds(untilMs - steadyMs()));
    Json running = Json::array();
    for (auto const& [task, run] : executor.running) {
        int64_t const workedMs = run.workingSinceMs < 0 ? 0 : steadyMs() - run.workingSinceMs;
        int64_t const percent = std::min<int64_t>(100, workedMs * 100 / std::max<int64_t>(run.workMs, 1));
        running.push_back({ task, run.number, "", percent, run.cpu });
    }
    Json rows = Json::array();
    for (auto const& end : ended)
        rows.push_back({ end.number, end.task, end.run, end.how, "" });
    return answer(200, { { "clock-ms", executor.clockMs() }, { "born", executor.bornWallMs }, { "running", running }, { "ended", rows } });
}

void Executors::end(Executor& executor, std::string const& task, std::string const& how)
{
    auto const found = executor.running.find(task);
    if (found == executor.running.end())
        return;
    Run const run = found->second;
    executor.running.erase(found);
    uint64_t& closed = executor.closedRuns[task];
    closed = std::max(closed, run.number);
    executor.ended.push_back({ ++executor.lastEnd, task, run.number, how });
    this->history[run.record].endedMs = steadyMs();
    this->history[run.record].how = how;
    this->record.add(executor.spec.id, "ends " + task + " run " + std::to_string(run.number) + ": " + how);
    if (run.gangSize && how != "done")
        this->breakGang(stepOf(task), run.number);
    this->changed.notify_all();
}

void Executors::breakGang(std::string const& step, uint64_t run)
{
    for (auto& [id, executor] : this->executors) {
        for (auto& [task, member] : executor->running) {
            if (stepOf(task) == step && member.number == run)
                member.isBroken = true;
        }
    }
}

void Executors::tick()
{
    constexpr auto interval = std::chrono::milliseconds(5);
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->isEnding) {
        for (auto& [id, executor] : this->executors) {
            if (!executor->isCrashed)
                this->tick(*executor);
        }
        lock.unlock();
        std::this_thread::sleep_for(interval);
        lock.lock();
    }
}

void Executors::tick(Executor& executor)
{
    int64_t const now = steadyMs();
    std::vector<std::pair<std::string, std::string>> ends;
    for (auto const& [task, run] : executor.running) {
        if (executor.clockMs() >= executor.leaseUntilMs)
            ends.emplace_back(task, "lapsed");
        else if (run.stopAtMs >= 0 && now >= run.stopAtMs)
            ends.emplace_back(task, "stopped");
        else if (run.isBroken)
            ends.emplace_back(task, "broken");
        else if (run.workingSinceMs >= 0 && now >= run.workingSinceMs + run.workMs)
            ends.emplace_back(task, "done");
        else if (run.workingSinceMs < 0 && now >= run.startedMs + this->bounds.gangTimeoutMs)
            ends.emplace_back(task, "alone");
    }
    for (auto const& [task, how] : ends)
        this->end(executor, task, how);
}

void Executors::checkIn(Executor& executor, int64_t firstAfterMs)
{
    constexpr int64_t ackMs = 1000;
    size_t next = std::hash<std::string>()(executor.spec.id);
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->changed.wait_for(lock, std::chrono::milliseconds(firstAfterMs), [&] { return this->isEnding || executor.isCrashed; });
    }
    while (true) {
        bool isAcknowledged = false;
        Json const room { { "cpu", executor.spec.cpu }, { "memory-request-mb", 64000 }, { "gpu", 0 } };
        Json body { { "service", executor.spec.service }, { "address", executor.spec.ip + ":" + std::to_string(executor.spec.port) }, { "zone", executor.spec.zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" },
            { "cold-remaining-ms", 0 }, { "capacity", room }, { "labels", executor.spec.labels }, { "born", executor.bornWallMs } };
        {
            std::unique_lock<std::mutex> lock(this->mutex);
            if (this->isEnding || executor.isCrashed)
                return;
            isAcknowledged = executor.isCut;
            body["sequence"] = ++executor.sequence;
            body["clock-ms"] = executor.clockMs();
        }
        for (size_t attempt = 0; attempt < this->controlAddresses.size() && !isAcknowledged; attempt++) {
            std::string const& address = this->controlAddresses[next % this->controlAddresses.size()];
            auto const answered = call(address, "POST", "/v1/instances/" + executor.spec.id + "/heartbeat", { { "Host", address } }, body.dump(), ackMs);
            isAcknowledged = answered && answered->status / 100 == 2;
            next += isAcknowledged ? 0 : 1;
        }
        std::unique_lock<std::mutex> lock(this->mutex);
        this->changed.wait_for(lock, std::chrono::milliseconds(this->bounds.heartbeatMs), [&] { return this->isEnding || executor.isCrashed; });
    }
}

} // namespace review
