#include "Executors.h"

#include <algorithm>

namespace review {

namespace {

    constexpr int orderPort = 9000;
    constexpr double maxHoldMs = 6000;
    constexpr double gangTimeoutMs = 3000;
    constexpr int heartbeatMs = 1500;
    constexpr int addressOffset = 100; ///< Of executor 0.

    std::string submissionOf(std::string const& task)
    {
        return task.substr(0, task.find('.'));
    }

    std::string stepOf(std::string const& task)
    {
        return task.substr(0, task.rfind('.'));
    }

    int64_t unixMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

} // namespace

std::string submissionBody(std::vector<Step> const& steps)
{
    Json spec { { "ms", Json::array() } };
    Json wire = Json::array();
    for (auto const& step : steps) {
        spec["ms"].push_back(step.runMs);
        spec["cpu"].push_back(step.cpu);
        spec["gang"].push_back(step.isGang ? step.count : 0);
        spec["requirement"].push_back(step.requirement);
        Json one { { "count", step.count }, { "cpu", step.cpu }, { "memory-request-mb", 64 }, { "estimated-ms", step.estimatedMs } };
        if (step.antiAffinity)
            one["anti-affinity"] = step.antiAffinity;
        if (step.isGang)
            one["gang-scheduled"] = true;
        if (!step.requirement.empty())
            one["requirements"] = step.requirement;
        wire.push_back(one);
    }
    return Json { { "task-spec", spec.dump() }, { "steps", wire } }.dump();
}

Executors::~Executors()
{
    constexpr int openCallsMs = 1300; ///< Longer than a check-in waits for its answer.
    this->fleet.stop();
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        for (auto const& [number, executor] : this->executors) {
            executor->isUp = false;
            executor->server.reset();
        }
    }
    sleepMs(openCallsMs);
}

std::string Executors::id(int number)
{
    char text[16];
    std::snprintf(text, sizeof(text), "i-%04d", number);
    return text;
}

void Executors::add(int number, std::vector<std::string> const& labels, int firstCheckInMs)
{
    auto executor = std::make_shared<Executor>();
    executor->number = number;
    executor->labels = labels;
    executor->bornMs = unixMs();
    executor->bootedAt = this->record.seconds();
    executor->server = std::make_unique<HttpServer>(this->fleet.ip(addressOffset + number), orderPort, [this, executor = executor.get()](HttpCall const& call) { return this->handle(*executor, call); });
    this->record.line("executor " + id(number) + ": boots, of kind " + labels.front());
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->executors[number] = executor;
    std::thread([this, executor, firstCheckInMs] { this->checkIn(executor, firstCheckInMs); }).detach();
}

void Executors::crash(int number)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->record.line("executor " + id(number) + ": crashes");
    this->executors.at(number)->isUp = false;
    this->executors.at(number)->server.reset();
}

void Executors::setUnhealthy(int number, bool isUnhealthy)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    Executor& executor = *this->executors.at(number);
    std::lock_guard<std::mutex> const ownLock(executor.mutex);
    executor.isUnhealthy = isUnhealthy;
    this->record.line("executor " + id(number) + (isUnhealthy ? ": is unhealthy" : ": is healthy again"));
}

void Executors::setGrey(int number, bool isGrey)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    Executor& executor = *this->executors.at(number);
    std::lock_guard<std::mutex> const ownLock(executor.mutex);
    executor.isGrey = isGrey;
    this->record.line("executor " + id(number) + (isGrey ? ": fails all that it starts" : ": fails nothing any more"));
}

size_t Executors::runningTasks(std::string const& submission)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    size_t count = 0;
    for (auto const& [number, executor] : this->executors) {
        std::lock_guard<std::mutex> const ownLock(executor->mutex);
        this->endDue(*executor);
        count += static_cast<size_t>(std::count_if(executor->running.begin(), executor->running.end(), [&](auto const& entry) { return submissionOf(entry.first) == submission; }));
    }
    return count;
}

size_t Executors::begunTasks(std::string const& submission)
{
    std::lock_guard<std::mutex> const lock(this->countMutex);
    return this->begun[submission];
}

size_t Executors::failedRuns(std::string const& submission)
{
    std::lock_guard<std::mutex> const lock(this->countMutex);
    return this->failed[submission].size();
}

int Executors::freeCpu(int number)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    Executor& executor = *this->executors.at(number);
    std::lock_guard<std::mutex> const ownLock(executor.mutex);
    this->endDue(executor);
    int used = 0;
    for (auto const& [task, run] : executor.running)
        used += run.cpu;
    return capacityCpu - used;
}

double Executors::usedShare()
{
    double used = 0;
    std::vector<int> numbers;
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        for (auto const& [number, executor] : this->executors)
            numbers.push_back(number);
    }
    for (int const number : numbers)
        used += capacityCpu - this->freeCpu(number);
    return used / (static_cast<double>(numbers.size()) * capacityCpu);
}

double Executors::clockMs(Executor const& executor) const
{
    constexpr double msPerSecond = 1000;
    return (this->record.seconds() - executor.bootedAt) * msPerSecond;
}

HttpReply Executors::answer(Executor const& executor, int status, Json body) const
{
    body["clock-ms"] = static_cast<int64_t>(this->clockMs(executor));
    body["born"] = executor.bornMs;
    return { status, body.dump() };
}

HttpReply Executors::handle(Executor& executor, HttpCall const& call)
{
    if (!executor.isUp)
        return {};
    if (call.expectedInstance != id(executor.number))
        return this->answer(executor, 421, Json::object());
    Json const order = Json::parse(call.body, nullptr, false);
    if (!order.is_object())
        return this->answer(executor, 400, Json::object());
    {
        std::lock_guard<std::mutex> const lock(executor.mutex);
        this->endDue(executor);
        int64_t const fence = order.value("fencing-token", int64_t(0));
        if (fence < executor.fence)
            return this->answer(executor, 409, { { "reason", "fence" } });
        executor.fence = fence;
        if (call.path == "/v1/run-start" && executor.isUnhealthy) {
            this->record.line("executor " + id(executor.number) + ": 503 to the start of " + order.value("task", ""));
            return this->answer(executor, 503, Json::object());
        }
        if (order.contains("until-ms"))
            executor.leaseUntilMs = std::max(executor.leaseUntilMs, std::min(order["until-ms"].get<double>(), this->clockMs(executor) + maxHoldMs));
        if (call.path == "/v1/run-start")
            return this->start(executor, order);
        if (call.path == "/v1/run-stop")
            return this->stop(executor, order);
    }
    if (call.path == "/v1/hold")
        return this->hold(executor, order);
    return this->answer(executor, 200, Json::object());
}

HttpReply Executors::start(Executor& executor, Json const& order)
{
    std::string const task = order["task"].get<std::string>();
    int64_t const run = order["run"].get<int64_t>();
    auto const present = executor.running.find(task);
    if (present != executor.running.end() && present->second.run == run)
        return this->answer(executor, 200, Json::object());
    if (run <= executor.highestRuns[task] || present != executor.running.end())
        return this->answer(executor, 409, { { "reason", "old" } });
    if (order["until-ms"].get<double>() < this->clockMs(executor))
        return this->answer(executor, 409, { { "reason", "late" } });
    if (this->needsTickets && order.value("ticket", "") != ticket(task.substr(0, task.rfind('.')), id(executor.number)))
        return this->answer(executor, 409, { { "reason", "ticket" } });
    Json const spec = Json::parse(order["task-spec"].get<std::string>());
    size_t const stepBegin = task.find('.', task.find('.') + 1) + 1;
    auto const step = static_cast<size_t>(std::stoi(task.substr(stepBegin)));
    int used = spec["cpu"][step].get<int>();
    for (auto const& [other, otherRun] : executor.running)
        used += otherRun.cpu;
    if (used > capacityCpu)
        return this->answer(executor, 409, { { "reason", "room" } });
    Run const begins { run, this->record.seconds(), spec["ms"][step].get<double>(), spec["cpu"][step].get<int>(), spec["gang"][step].get<size_t>() };
    executor.running[task] = begins;
    {
        std::lock_guard<std::mutex> const lock(this->countMutex);
        this->begun[submissionOf(task)]++;
        Gang& gang = this->gangs[{ stepOf(task), run }];
        gang.present++;
        if (begins.gangSize && gang.present == begins.gangSize)
            gang.completeAt = begins.startedAt;
    }
    std::string const requirement = spec["requirement"][step].get<std::string>();
    bool const isOtherKind = !requirement.empty() && std::find(executor.labels.begin(), executor.labels.end(), requirement) == executor.labels.end();
    this->otherKindStarts += isOtherKind ? 1 : 0;
    this->record.line("executor " + id(executor.number) + ": begins " + task + " run " + std::to_string(run) + (isOtherKind ? ", which requires " + requirement : ""));
    return this->answer(executor, 200, Json::object());
}

HttpReply Executors::stop(Executor& executor, Json const& order)
{
    std::string const task = order["task"].get<std::string>();
    int64_t const run = order["run"].get<int64_t>();
    executor.highestRuns[task] = std::max(executor.highestRuns[task], run);
    auto const present = executor.running.find(task);
    if (present != executor.running.end() && present->second.run <= run)
        this->end(executor, task, "stopped");
    return this->answer(executor, 200, Json::object());
}

HttpReply Executors::hold(Executor& executor, Json const& order)
{
    constexpr double msPerSecond = 1000;
    double const until = this->record.seconds() + order.value("wait-ms", 0.0) / msPerSecond;
    for (;;) {
        {
            std::lock_guard<std::mutex> const lock(executor.mutex);
            this->endDue(executor);
            Json left = Json::array();
            for (auto const& row : executor.ended) {
                if (row[0].get<int64_t>() > order.value("last-seen", int64_t(0)))
                    left.push_back(row);
            }
            executor.ended = left;
            if (!left.empty() || this->record.seconds() >= until || !executor.isUp) {
                Json running = Json::array();
                for (auto const& [task, run] : executor.running)
                    running.push_back({ task, run.run, "", 50, run.cpu });
                return this->answer(executor, 200, { { "running", running }, { "ended", left } });
            }
        }
        sleepMs(10);
    }
}

void Executors::endDue(Executor& executor)
{
    std::vector<std::pair<std::string, std::string>> due;
    for (auto const& [task, run] : executor.running) {
        std::string const how = this->howEnded(executor, task, run);
        if (!how.empty())
            due.emplace_back(task, how);
    }
    for (auto const& [task, how] : due)
        this->end(executor, task, how);
}

std::string Executors::howEnded(Executor const& executor, std::string const& task, Run const& run)
{
    constexpr double msPerSecond = 1000;
    constexpr double greyMs = 100; ///< Until what a grey executor has started fails.
    double const now = this->record.seconds();
    double const lasted = (now - run.startedAt) * msPerSecond;
    if (this->clockMs(executor) > executor.leaseUntilMs)
        return "lapsed";
    if (executor.isGrey && lasted > greyMs)
        return "failed";
    if (!run.gangSize)
        return lasted > run.lastsMs ? "done" : "";
    std::lock_guard<std::mutex> const lock(this->countMutex);
    Gang const& gang = this->gangs[{ stepOf(task), run.run }];
    if (gang.isBroken)
        return "broken";
    if (gang.completeAt > 0)
        return (now - gang.completeAt) * msPerSecond > run.lastsMs ? "done" : "";
    return lasted > gangTimeoutMs ? "alone" : "";
}

void Executors::end(Executor& executor, std::string const& task, std::string const& how)
{
    Run const run = executor.running.at(task);
    executor.running.erase(task);
    executor.highestRuns[task] = std::max(executor.highestRuns[task], run.run);
    executor.ended.push_back({ ++executor.lastEnd, task, run.run, how, "" });
    this->record.line("executor " + id(executor.number) + ": " + task + " run " + std::to_string(run.run) + " ends, " + how);
    std::lock_guard<std::mutex> const lock(this->countMutex);
    if (how == "failed")
        this->failed[submissionOf(task)].insert(run.run);
    if (how != "done")
        this->gangs[{ stepOf(task), run.run }].isBroken = true;
}

void Executors::checkIn(std::shared_ptr<Executor> const& executor, int firstCheckInMs)
{
    sleepMs(firstCheckInMs);
    int host = executor->number;
    for (int sequence = 1; executor->isUp; sequence++) {
        Json const body { { "service", "svc" }, { "address", this->fleet.ip(addressOffset + executor->number) + ":" + std::to_string(orderPort) }, { "zone", "z1" }, { "version", "v1" }, { "slots", 8 },
            { "state", "ready" }, { "cold-remaining-ms", 0 }, { "capacity", { { "cpu", capacityCpu }, { "memory-request-mb", 64000 }, { "gpu", 0 } } }, { "labels", executor->labels },
            { "clock-ms", static_cast<int64_t>(this->clockMs(*executor)) }, { "sequence", sequence }, { "born", executor->bornMs } };
        HttpReply const reply = this->fleet.callControl(1 + host % this->fleet.controlHosts(), { "POST", "/v1/instances/" + id(executor->number) + "/heartbeat", "", body.dump(), "" });
        bool const isAcknowledged = reply.status >= 200 && reply.status < 300;
        host += isAcknowledged ? 0 : 1;
        sleepMs(isAcknowledged ? heartbeatMs : 200);
    }
}

} // namespace review
