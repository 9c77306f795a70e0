#include "review/standin/Executor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace review {

using Json = nlohmann::json;

namespace {

    constexpr int conflict = 409;
    constexpr int misdirected = 421;
    constexpr int badRequest = 400;
    constexpr int unavailable = 503;
    constexpr int64_t maxWaitMs = 2000;
    constexpr int64_t stopMs = 100; ///< A stop takes at most 400 ms.
    constexpr Milliseconds stepInterval = Milliseconds(5);
    constexpr Milliseconds checkInTimeout = Milliseconds(1000);

    int64_t wallMs()
    {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    /// The number behind "NAME=" in the text; `fallback` without it.
    int64_t numberIn(std::string const& text, std::string const& name, int64_t fallback)
    {
        size_t const found = text.find(name + "=");
        return found == std::string::npos ? fallback : std::stoll(text.substr(found + name.size() + 1));
    }

} // namespace

void GangBoard::join(std::string const& gang, size_t size)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    Gang& entry = this->gangs[gang];
    entry.present++;
    entry.size = size;
}

void GangBoard::fail(std::string const& gang)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->gangs[gang].hasFailed = true;
}

bool GangBoard::isComplete(std::string const& gang) const
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    auto const found = this->gangs.find(gang);
    return found != this->gangs.end() && found->second.present >= found->second.size;
}

bool GangBoard::hasFailed(std::string const& gang) const
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    auto const found = this->gangs.find(gang);
    return found != this->gangs.end() && found->second.hasFailed;
}

std::string ticketFor(std::string const& task, std::string const& executor)
{
    size_t step = 0;
    for (int dots = 0; dots < 3 && step < task.size(); step++)
        dots += task[step] == '.';
    std::string const name = task.substr(0, step);
    return "t-" + (name.empty() || name.back() != '.' ? name : name.substr(0, name.size() - 1)) + "-" + executor;
}

Executor::Executor(ExecutorSetup setup, std::vector<Endpoint> controls, Record& record)
    : setup(std::move(setup))
    , controls(std::move(controls))
    , record(record)
{
}

Executor::~Executor()
{
    this->crash();
}

void Executor::boot(Milliseconds firstCheckIn, bool keepsAddress)
{
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        this->bootedAt = std::chrono::steady_clock::now();
        this->born = wallMs();
        this->sequence = 0;
        this->isDraining = this->drainAcknowledged = this->checkedIn = this->isEnding = false;
        this->fence = 0;
        this->leaseUntilMs = 0;
        this->lastEnd = 0;
        this->highestOver.clear();
        this->checkInAddress.clear();
        this->isUp = true;
    }
    this->server = std::make_unique<Server>(this->setup.ip, keepsAddress ? this->port : 0, [this](Request const& request) { return this->handle(request); });
    this->port = this->server->port();
    this->record.line("executor " + this->setup.id + " boots, kind " + this->setup.kind + ", born " + std::to_string(this->born));
    this->taskThread = std::thread([this] { this->runTasks(); });
    this->checkInThread = std::thread([this, firstCheckIn] { this->checkIn(firstCheckIn); });
}

void Executor::crash()
{
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        if (!this->isUp)
            return;
        this->isUp = false;
        this->isEnding = true;
        this->record.line("executor " + this->setup.id + " ends, born " + std::to_string(this->born));
        for (auto const& [key, run] : this->running)
            this->record.endRun(run.recordIndex, "ended with the executor");
        this->running.clear();
        this->ended.clear();
    }
    this->changed.notify_all();
    this->server.reset();
    this->taskThread.join();
    this->checkInThread.join();
}

void Executor::setFaults(ExecutorFaults given)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->faults = given;
}

void Executor::setNextControl(size_t index)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->nextControl = index;
    this->checkInAddress.clear();
}

bool Executor::isCheckedIn() const
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    return this->checkedIn;
}

void Executor::drain()
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->isDraining = true;
    this->changed.notify_all();
}

bool Executor::isDrainAcknowledged() const
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    return this->drainAcknowledged;
}

std::string Executor::deregisterBody() const
{
    return Json { { "born", this->bornMs() } }.dump();
}

void Executor::setLoadFigure(std::function<int64_t(std::string const&)> figure)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->loadFigure = std::move(figure);
}

int64_t Executor::bornMs() const
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    return this->born;
}

size_t Executor::runningCount() const
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    return this->running.size();
}

int64_t Executor::clockMs() const
{
    constexpr int64_t firstMs = 1000;
    return firstMs + std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - this->bootedAt).count();
}

Response Executor::handle(Request const& request)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    if (!this->isUp)
        return {};
    auto const expected = request.headers.find("x-expected-instance");
    if (expected != request.headers.end() && expected->second != this->setup.id)
        return { misdirected, "{}" };
    if (request.path == "/health")
        return { this->faults.refusesStarts ? unavailable : 200, "{}" };
    Json const body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return { badRequest, "{}" };
    if (request.path == "/v1/run-start")
        return this->handleStart(body);
    if (request.path == "/v1/run-stop")
        return this->handleStop(body);
    if (request.path == "/v1/hold")
        return this->handleHold(body, lock);
    if (request.path == "/v1/pace")
        return this->isFenced(body) ? this->refusal("fence") : Response { 200, Json { { "clock-ms", this->clockMs() } }.dump() };
    return { badRequest, "{}" };
}

Response Executor::refusal(char const* reason) const
{
    return { conflict, Json { { "clock-ms", this->clockMs() }, { "reason", reason } }.dump() };
}

bool Executor::isFenced(Json const& body)
{
    uint64_t const token = body.value("fencing-token", uint64_t());
    if (token < this->fence)
        return true;
    this->fence = token;
    return false;
}

void Executor::extendLease(Json const& body)
{
    int64_t const until = body.value("until-ms", int64_t());
    this->leaseUntilMs = std::max(this->leaseUntilMs, std::min(until, this->clockMs() + maxHoldMs));
}

Response Executor::handleStart(Json const& body)
{
    RunKey const key { body.at("task").get<std::string>(), body.at("run").get<uint64_t>() };
    if (this->faults.refusesStarts) {
        this->record.line("start refused with 503: " + key.first + " run " + std::to_string(key.second) + " at " + this->setup.id);
        return { unavailable, "{}" };
    }
    if (this->isFenced(body))
        return this->refusal("fence");
    if (body.value("until-ms", int64_t()) <= this->clockMs())
        return this->refusal("late");
    this->extendLease(body);
    Json const accepted { { "clock-ms", this->clockMs() } };
    if (this->running.count(key))
        return { 200, accepted.dump() };
    auto const over = this->highestOver.find(key.first);
    if (over != this->highestOver.end() && key.second <= over->second)
        return this->refusal("old");
    Running run;
    run.spec = body.value("task-spec", std::string());
    if (run.spec.find("ticketed") != std::string::npos && body.value("ticket", std::string()) != ticketFor(key.first, this->setup.id))
        return this->refusal("ticket");
    run.milliCores = numberIn(run.spec, "cpu", 0);
    int64_t used = run.milliCores;
    for (auto const& [other, present] : this->running)
        used += present.milliCores;
    if (this->setup.guardsCapacity && used > this->setup.milliCores)
        return this->refusal("room");
    run.startedAtMs = this->clockMs();
    run.workMs = numberIn(run.spec, "ms", 1000);
    run.endsAtMs = run.startedAtMs + run.workMs;
    int64_t const gangSize = numberIn(run.spec, "gang", 0);
    if (this->setup.gangs && gangSize > 0) {
        run.gang = key.first.substr(0, key.first.rfind('.')) + " run " + std::to_string(key.second);
        run.endsAtMs = std::numeric_limits<int64_t>::max();
        this->setup.gangs->join(run.gang, static_cast<size_t>(gangSize));
    }
    run.recordIndex = this->record.addRun({ key.first, key.second, this->setup.id, this->born, this->setup.kind, run.spec, 0, -1, "" });
    this->running.emplace(key, run);
    return { 200, accepted.dump() };
}

Response Executor::handleStop(Json const& body)
{
    if (this->isFenced(body))
        return this->refusal("fence");
    RunKey const key { body.at("task").get<std::string>(), body.at("run").get<uint64_t>() };
    uint64_t& over = this->highestOver[key.first];
    over = std::max(over, key.second);
    auto const found = this->running.find(key);
    if (found != this->running.end() && !found->second.stopAtMs)
        found->second.stopAtMs = this->clockMs() + stopMs;
    return { 200, Json { { "clock-ms", this->clockMs() } }.dump() };
}

Response Executor::handleHold(Json const& body, std::unique_lock<std::mutex>& lock)
{
    if (this->isFenced(body))
        return this->refusal("fence");
    if (body.contains("until-ms"))
        this->extendLease(body);
    uint64_t const lastSeen = body.value("last-seen", uint64_t());
    this->ended.erase(std::remove_if(this->ended.begin(), this->ended.end(), [&](Ended const& end) { return end.number <= lastSeen; }), this->ended.end());
    Milliseconds const wait(std::min(body.value("wait-ms", int64_t()), maxWaitMs));
    int64_t const life = this->born;
    if (wait.count() > 0)
        this->changed.wait_for(lock, wait, [&] { return !this->isUp || this->born != life || !this->ended.empty(); });
    if (!this->isUp || this->born != life)
        return {};
    return this->listing();
}

Response Executor::listing() const
{
    constexpr size_t maxEnds = 500;
    Json runningRows = Json::array();
    for (auto const& [key, run] : this->running) {
        int64_t const figure = this->loadFigure ? this->loadFigure(run.spec) : run.milliCores;
        runningRows.push_back({ key.first, key.second, "", 100, figure });
    }
    Json endedRows = Json::array();
    for (auto const& end : this->ended) {
        if (endedRows.size() < maxEnds)
            endedRows.push_back({ end.number, end.key.first, end.key.second, end.how, "" });
    }
    return { 200, Json { { "clock-ms", this->clockMs() }, { "born", this->born }, { "running", runningRows }, { "ended", endedRows } }.dump() };
}

void Executor::end(RunKey const& key, std::string const& how)
{
    auto const found = this->running.find(key);
    if (found == this->running.end())
        return;
    this->record.endRun(found->second.recordIndex, how);
    this->running.erase(found);
    this->ended.push_back({ ++this->lastEnd, key, how });
    uint64_t& over = this->highestOver[key.first];
    over = std::max(over, key.second);
    this->changed.notify_all();
}

void Executor::runTasks()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (this->isUp) {
        this->step();
        lock.unlock();
        std::this_thread::sleep_for(stepInterval);
        lock.lock();
    }
}

std::string Executor::endOf(Running& run)
{
    constexpr int64_t gangTimeoutMs = 3000;
    int64_t const now = this->clockMs();
    if (now > this->leaseUntilMs)
        return "lapsed";
    if (run.stopAtMs && now >= *run.stopAtMs)
        return "stopped";
    if (this->faults.failsStarted)
        return "failed";
    if (!run.gang.empty()) {
        if (this->setup.gangs->hasFailed(run.gang))
            return "broken";
        bool const isComplete = this->setup.gangs->isComplete(run.gang);
        if (!isComplete && now - run.startedAtMs > gangTimeoutMs)
            return "alone";
        if (isComplete && run.endsAtMs == std::numeric_limits<int64_t>::max())
            run.endsAtMs = now + run.workMs;
    }
    return now >= run.endsAtMs ? "done" : "";
}

void Executor::step()
{
    std::vector<std::pair<RunKey, std::string>> over;
    for (auto& [key, run] : this->running) {
        std::string const how = this->endOf(run);
        if (!how.empty())
            over.emplace_back(key, how);
    }
    // All that fails at one moment fails by itself; only then do the others of its gang learn of it.
    for (auto const& [key, how] : over) {
        std::string const gang = this->running.at(key).gang;
        this->end(key, how);
        if (!gang.empty() && how != "done")
            this->setup.gangs->fail(gang);
    }
}

void Executor::checkIn(Milliseconds first)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    Milliseconds wait = first;
    while (this->isUp) {
        bool const wasDraining = this->isDraining;
        this->changed.wait_for(lock, wait, [&] { return !this->isUp || this->isDraining != wasDraining; });
        if (!this->isUp)
            return;
        lock.unlock();
        bool const isAcknowledged = this->sendCheckIn();
        lock.lock();
        wait = isAcknowledged ? heartbeatInterval : Milliseconds(0);
    }
}

bool Executor::sendCheckIn()
{
    Json body;
    Endpoint to;
    bool draining = false;
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        draining = this->isDraining;
        body = { { "service", "fleet" }, { "address", this->setup.ip + ":" + std::to_string(this->port) }, { "zone", "z1" }, { "version", "v1" }, { "slots", 8 },
            { "state", draining ? "draining" : "ready" }, { "cold-remaining-ms", 0 }, { "capacity", { { "cpu", this->setup.milliCores }, { "memory-request-mb", this->setup.memoryMb }, { "gpu", 0 } } },
            { "labels", { this->setup.kind, this->setup.rack } }, { "clock-ms", this->clockMs() }, { "born", this->born }, { "sequence", ++this->sequence } };
        if (draining)
            body["drain-remaining-ms"] = 1000;
        to = this->controls[this->nextControl % this->controls.size()];
        size_t const colon = this->checkInAddress.find(':');
        if (colon != std::string::npos)
            to = { this->checkInAddress.substr(0, colon), static_cast<uint16_t>(std::stoul(this->checkInAddress.substr(colon + 1))) };
    }
    Response const answer = call(to, { "POST", "/v1/instances/" + this->setup.id + "/heartbeat", {}, body.dump() }, checkInTimeout, &this->isEnding);
    std::lock_guard<std::mutex> const lock(this->mutex);
    bool const isAcknowledged = answer.status / 100 == 2;
    if (isAcknowledged) {
        this->checkedIn = true;
        this->checkInAddress = Json::parse(answer.body).value("heartbeat-address", std::string());
        if (draining && !this->drainAcknowledged)
            this->record.line("executor " + this->setup.id + ": draining acknowledged by " + to.text());
        this->drainAcknowledged = this->drainAcknowledged || draining;
    } else {
        this->checkInAddress.clear();
        this->nextControl++;
    }
    return isAcknowledged;
}

} // namespace review
