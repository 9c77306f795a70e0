#include "testing/integration/scenarios/ScenarioFixture.h"

#include "cornelpond/core/base/ResultCode.h"

#include <arpa/inet.h>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace cornelpond {

namespace {

    uint64_t currentSeed = 1;

    bool isEndedState(std::string const& state)
    {
        return state == "finished" || state == "failed" || state == "cancelled";
    }

    ClusterOptions withShortLease(ClusterOptions options)
    {
        options.seed = scenarioSeed();
        options.settingsPatch = { { "times", { { "leaseMs", 1000 }, { "driftMarginMs", 200 }, { "announcementExpiryMs", 1000 } } } };
        return options;
    }

    bool canRetry(ResultCode code)
    {
        return code == ResultCode::Unreachable || code == ResultCode::NotLeader || code == ResultCode::NoQuorum || code == ResultCode::ShuttingDown || code == ResultCode::ForwardFailed;
    }

} // namespace

uint64_t scenarioSeed()
{
    return currentSeed;
}

void setScenarioSeed(uint64_t seed)
{
    currentSeed = seed;
}

ClusterOptions oneHostOptions()
{
    ClusterOptions options;
    options.hosts = { { "h1", "dc1", true } };
    return withShortLease(options);
}

ClusterOptions threeDataCentreOptions()
{
    return withShortLease(ClusterOptions());
}

ScenarioFixture::ScenarioFixture(ClusterOptions options)
    : random(scenarioSeed())
    , cluster(BINARY_FOLDER, std::move(options))
{
    this->cluster.startAll();
}

ChildProcess& ScenarioFixture::addFleet(std::string const& dataCentre, std::vector<std::string> const& extra)
{
    std::vector<std::string> arguments = { "--name", dataCentre + "-", "--seed", std::to_string(scenarioSeed()) };
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    this->fleets.push_back(this->cluster.startFleet(dataCentre, arguments));
    return *this->fleets.back();
}

nlohmann::json ScenarioFixture::randomTask()
{
    nlohmann::json const resources = { { "milliCores", this->randomBetween(5, 30) * 100 }, { "memoryMiB", this->randomBetween(1, 30) * 100 }, { "accelerators", this->randomBetween(0, 4) ? 0 : 1 } };
    return {
        { "id", "task-" + std::to_string(++this->generatedTaskCount) },
        { "association", "sluices" },
        { "resources", resources },
        { "labels", { { "wave", std::to_string(this->randomBetween(0, 3)) } } },
        { "command", "run " + std::to_string(this->randomBetween(20, 400)) },
    };
}

void ScenarioFixture::submit(std::string const& host, nlohmann::json const& task)
{
    ResultCode code = ResultCode::Internal;
    waitUntil("the task to be accepted", [&] {
        code = this->cluster.submit(host, task);
        return !canRetry(code);
    });
    if (code != ResultCode::Ok)
        throw std::runtime_error("the task was refused with code " + std::to_string(static_cast<int>(code)));
    this->acceptedTasks.insert(TaskId(task["id"].get<std::string>()));
}

void ScenarioFixture::submitRandomTasks(std::string const& host, int count)
{
    for (int i = 0; i < count; i++)
        this->submit(host, this->randomTask());
}

nlohmann::json ScenarioFixture::fetchTask(std::string const& host, TaskId const& id)
{
    try {
        return this->cluster.callOperatorApi(host, "GET", "/v1/tasks/" + id.value());
    } catch (Error const& error) {
        if (error.code() == ResultCode::NotFound)
            throw std::runtime_error(id.value() + " was accepted, but the host does not find it");
        return nullptr;
    }
}

void ScenarioFixture::waitUntilAllTasksEnded(std::string const& host)
{
    for (auto const& id : this->acceptedTasks) {
        waitUntil(id.value() + " to end", [&] {
            nlohmann::json const shown = this->fetchTask(host, id);
            return shown.is_object() && isEndedState(shown["state"].get<std::string>());
        });
    }
}

void ScenarioFixture::waitForAttemptStarts(TaskId const& id, size_t count)
{
    waitUntil("starts of " + id.value(), [&] {
        size_t starts = 0;
        for (auto const& entry : this->record())
            starts += entry.kind == RecordKind::AttemptStart && entry.task == id ? 1 : 0;
        return starts >= count;
    });
}

void ScenarioFixture::sleepUpTo(int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(this->randomBetween(0, milliseconds)));
}

void ScenarioFixture::killAndRestart(std::string const& host)
{
    this->cluster.host(host).kill();
    this->cluster.host(host).start();
}

std::string sendRawBytes(std::string const& address, std::string const& bytes, int64_t timeoutMs)
{
    size_t const colon = address.rfind(':');
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof(to))) {
        close(socket);
        throw std::runtime_error("cannot connect to " + address);
    }
    send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::string response(4096, '\0');
    pollfd waiting { socket, POLLIN, 0 };
    ssize_t const length = poll(&waiting, 1, static_cast<int>(timeoutMs)) > 0 ? recv(socket, response.data(), response.size(), 0) : 0;
    close(socket);
    response.resize(length > 0 ? static_cast<size_t>(length) : 0);
    return response;
}

} // namespace cornelpond
