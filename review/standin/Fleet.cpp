#include "review/standin/Fleet.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ; // NOLINT(readability-redundant-declaration)

namespace review {

using Json = nlohmann::json;

namespace {

    constexpr char const* settingsVariable = "CORNELPOND_NODE_FILE";
    constexpr Milliseconds startTimeout = Milliseconds(20000);
    constexpr Milliseconds pollInterval = Milliseconds(50);
    constexpr Milliseconds callTimeout = Milliseconds(1000);

    std::string makeFolder()
    {
        char const* base = std::getenv("TMPDIR");
        std::string path = std::string(base ? base : "/tmp") + "/cornelpond-review-XXXXXX";
        if (!mkdtemp(path.data()))
            throw std::runtime_error("cannot make a temporary folder");
        return path;
    }

} // namespace

Fleet::Fleet(std::string program, Record& record)
    : program(std::move(program))
    , record(record)
    , folder(makeFolder())
{
    constexpr int octet = 250;
    int const number = getpid();
    this->ipPrefix = "127." + std::to_string(1 + number % octet) + "." + std::to_string(1 + number / octet % octet) + ".";
}

Fleet::~Fleet()
{
    for (auto const& [host, pid] : this->processes) {
        ::kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

std::string Fleet::commonSettings(int host, std::string const& role, bool isFirstStart) const
{
    Json seeds = Json::array();
    for (int seed = 1; seed <= controlCount; seed++)
        seeds.push_back(this->address(seed, controlPort));
    Json const settings { { "role", role }, { "cluster", "fleet" }, { "name", role + "-" + std::to_string(host) }, { "dataCentre", "z1" }, { "firstStart", isFirstStart }, { "seeds", seeds }, { "lossTolerance", 1 },
        { "listen", { { "peers", this->address(host, peerPort) }, { "metrics", this->address(host, peerPort + 1) } } }, { "times", { { "maxLeaseMs", 6000 } } },
        { "limits", { { "descriptors", 1000 }, { "reservedDescriptors", 200 } } } };
    return settings.dump();
}

void Fleet::startControls()
{
    for (int host = 1; host <= controlCount; host++)
        this->startControl(host, true);
}

void Fleet::restartControl(int host)
{
    this->startControl(host, false);
}

void Fleet::startControl(int host, bool isFirstStart)
{
    Json settings = Json::parse(this->commonSettings(host, "control", isFirstStart));
    settings["dataFolder"] = this->folder + "/data" + std::to_string(host);
    std::filesystem::create_directories(settings["dataFolder"].get<std::string>());
    settings["listen"]["control"] = this->address(host, controlPort);
    if (this->advice.port)
        settings["permitService"] = this->advice.text();
    this->start(host, settings.dump());
}

void Fleet::startEntry(int host, std::map<std::string, std::string> const& routes)
{
    Json settings = Json::parse(this->commonSettings(host, "entry", true));
    settings["listen"]["callers"] = this->address(host, callerPort);
    settings["listen"]["readiness"] = this->address(host, readyPort);
    if (!routes.empty())
        settings["peerRoutes"] = routes;
    this->start(host, settings.dump());
    this->entries.push_back(host);
}

void Fleet::start(int host, std::string const& settings)
{
    std::string const path = this->folder + "/settings" + std::to_string(host) + ".json";
    std::ofstream(path) << settings;
    std::vector<std::string> words { this->program, "fleet", "--settings-variable", settingsVariable };
    std::vector<std::string> variables { std::string(settingsVariable) + "=" + path };
    for (char** entry = environ; *entry; entry++)
        variables.emplace_back(*entry);
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (auto& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::vector<char*> environment;
    environment.reserve(variables.size() + 1);
    for (auto& variable : variables)
        environment.push_back(variable.data());
    environment.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, this->logPath(host).c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = 0;
    int const error = posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error)
        throw std::runtime_error("cannot start " + this->program);
    this->processes[host] = pid;
    this->record.line("host " + std::to_string(host) + " started");
}

std::vector<Endpoint> Fleet::controls() const
{
    std::vector<Endpoint> all;
    for (int host = 1; host <= controlCount; host++)
        all.push_back(this->control(host));
    return all;
}

int Fleet::leader() const
{
    for (int host = 1; host <= controlCount; host++) {
        std::ifstream in(this->logPath(host));
        std::string const log { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
        size_t const elected = log.rfind("LeaderElected");
        size_t const lost = log.rfind("LeaderLost");
        if (elected != std::string::npos && (lost == std::string::npos || lost < elected))
            return host;
    }
    return 0;
}

void Fleet::signal(int host, int number)
{
    this->record.line("signal " + std::to_string(number) + " to host " + std::to_string(host));
    ::kill(this->processes.at(host), number);
}

void Fleet::kill(int host)
{
    this->signal(host, SIGKILL);
    waitpid(this->processes.at(host), nullptr, 0);
    this->processes.erase(host);
}

void Fleet::waitUntilServing()
{
    auto const deadline = std::chrono::steady_clock::now() + startTimeout;
    auto const isServing = [&] {
        return this->leader() && std::all_of(this->entries.begin(), this->entries.end(), [&](int entry) {
            return call({ this->ip(entry), readyPort }, { "GET", "/v1/readiness", {}, "" }, callTimeout).status == 200;
        });
    };
    while (!isServing()) {
        if (std::chrono::steady_clock::now() > deadline)
            throw std::runtime_error("the fleet does not serve");
        std::this_thread::sleep_for(pollInterval);
    }
}

Response Fleet::client(int entry, std::string const& method, std::string const& path, std::string const& body, Milliseconds timeout) const
{
    Response answer = call({ this->ip(entry), callerPort }, { method, path, { { "host", clientHost }, { "x-deadline-ms", std::to_string(timeout.count()) } }, body }, timeout);
    this->record.line(method + " " + path + " -> " + (answer.status ? std::to_string(answer.status) : "no answer") + (method == "GET" ? " " + answer.body : ""));
    return answer;
}

void Fleet::configure(std::string const& body) const
{
    auto const deadline = std::chrono::steady_clock::now() + startTimeout;
    for (int host = 1;; host = host % controlCount + 1) {
        int const status = call(this->control(host), { "POST", "/v1/configuration/replace", {}, body }, callTimeout).status;
        this->record.line("configuration to host " + std::to_string(host) + " -> " + std::to_string(status) + " " + body);
        if (status == 200)
            return;
        if (status / 100 == 4 || std::chrono::steady_clock::now() > deadline)
            throw std::runtime_error("the configuration was not acknowledged");
        std::this_thread::sleep_for(pollInterval);
    }
}

std::string configuration(uint64_t version, std::vector<std::pair<std::string, std::string>> const& routes, unsigned maxAttempts)
{
    Json list = Json::array();
    for (auto const& [name, prefix] : routes) {
        list.push_back({ { "name", name }, { "host", clientHost }, { "path-prefix", prefix }, { "kind", "non_idempotent" }, { "timeout-ms", 3000 }, { "target-latency-ms", 60000 }, { "priority", 0 }, { "service", "fleet" },
            { "max-attempts", maxAttempts }, { "stretch-factor", 2.0 } });
    }
    Json const service { { "name", "fleet" }, { "health-check-path", "/health" }, { "max-connections", 64 }, { "protocol", "h1" }, { "tls", false }, { "enforces-capacity", true }, { "standby", false } };
    Json const limits { { "max-header-bytes", 16384 }, { "max-body-bytes", 262144 }, { "header-timeout-ms", 3000 }, { "idle-timeout-ms", 15000 } };
    return Json { { "version", version }, { "routes", list }, { "services", { service } }, { "limits", limits } }.dump();
}

} // namespace review
