#include "review/standin-3/Hosts.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using Json = nlohmann::json;

namespace {

    constexpr uint16_t controlPort = 8166;
    constexpr uint16_t frontPort = 8161;
    constexpr uint16_t readyPort = 8167;
    constexpr uint16_t peerPort = 7720;
    constexpr uint16_t metricsPort = 7721;
    constexpr char const* program = "target/bin/cornelpond";

    std::string address(std::string const& ip, uint16_t port)
    {
        return ip + ":" + std::to_string(port);
    }

    /// An address range of 127.0.0.0/8 in which the ports are free.
    std::string freePrefix()
    {
        constexpr int octets = 250;
        for (int number = getpid();; number++) {
            std::string prefix = "127." + std::to_string(2 + number % octets) + "." + std::to_string(number / octets % octets) + ".";
            try {
                HttpServer const control(prefix + "1", controlPort, [](HttpMessage const&) { return std::nullopt; });
                HttpServer const front(prefix + "11", frontPort, [](HttpMessage const&) { return std::nullopt; });
                return prefix;
            } catch (std::runtime_error const&) {
                continue;
            }
        }
    }

} // namespace

Hosts::Hosts(Record& record)
    : record(record)
    , prefix(freePrefix())
    , folder((std::filesystem::temp_directory_path() / "review-XXXXXX").string())
{
    if (!mkdtemp(this->folder.data()))
        throw std::runtime_error("no temporary folder");
}

Hosts::~Hosts()
{
    for (pid_t const process : this->processes)
        kill(process, SIGKILL);
    for (pid_t const process : this->processes)
        waitpid(process, nullptr, 0);
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

std::vector<std::string> Hosts::controlAddresses() const
{
    std::vector<std::string> addresses;
    addresses.reserve(controlCount);
    for (int number = 1; number <= controlCount; number++)
        addresses.push_back(address(this->ip(number), controlPort));
    return addresses;
}

std::vector<std::string> Hosts::entryAddresses() const
{
    std::vector<std::string> addresses;
    addresses.reserve(entryCount);
    for (int number = 0; number < entryCount; number++)
        addresses.push_back(address(this->ip(firstEntryNumber + number), frontPort));
    return addresses;
}

Json Hosts::commonSettings(int number, char const* role, int zone) const
{
    Json const listen { { "peers", address(this->ip(number), peerPort) }, { "metrics", address(this->ip(number), metricsPort) } };
    return { { "role", role }, { "cluster", "fleet" }, { "name", std::string(role) + "-" + std::to_string(number) }, { "dataCentre", "z" + std::to_string(zone) }, { "firstStart", true }, { "seeds", this->controlAddresses() },
        { "lossTolerance", 1 }, { "listen", listen }, { "times", { { "maxLeaseMs", 6000 } } }, { "limits", { { "descriptors", 4096 }, { "reservedDescriptors", 200 } } } };
}

void Hosts::start()
{
    for (int number = 1; number <= controlCount; number++) {
        Json settings = this->commonSettings(number, "control", number);
        settings["dataFolder"] = this->folder + "/data-" + std::to_string(number);
        std::filesystem::create_directory(settings["dataFolder"].get<std::string>());
        settings["listen"]["control"] = address(this->ip(number), controlPort);
        settings["placement"]["slowdownElsewhere"] = 3;
        this->startProcess(number, settings);
    }
    for (int number = 0; number < entryCount; number++) {
        Json settings = this->commonSettings(firstEntryNumber + number, "entry", 1 + number);
        settings["listen"]["callers"] = address(this->ip(firstEntryNumber + number), frontPort);
        settings["listen"]["readiness"] = address(this->ip(firstEntryNumber + number), readyPort);
        this->startProcess(firstEntryNumber + number, settings);
    }
}

void Hosts::startProcess(int number, Json const& settings)
{
    std::string const name = "host-" + std::to_string(number);
    std::string const path = this->folder + "/" + name + ".json";
    std::ofstream(path) << settings.dump();
    std::string const variable = "CORNELPOND_NODE_FILE=" + path;
    std::string const log = this->folder + "/" + name + ".log";
    pid_t const process = fork();
    if (process < 0)
        throw std::runtime_error("cannot start a process");
    if (!process) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // Also when the case itself is killed.
        int const output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        char const* const arguments[] = { program, "fleet", "--settings-variable", "CORNELPOND_NODE_FILE", nullptr };
        char const* const environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", nullptr };
        execve(program, const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
        _exit(127);
    }
    this->processes.push_back(process);
    this->record.add(name, "starts");
}

bool Hosts::areRunning()
{
    for (pid_t const process : this->processes) {
        siginfo_t state {};
        if (waitid(P_PID, static_cast<id_t>(process), &state, WEXITED | WNOHANG | WNOWAIT) != 0 || state.si_pid)
            return false;
    }
    return true;
}

void Hosts::replaceConfig(Json const& config)
{
    constexpr int64_t longestMs = 30 * 1000;
    int64_t const deadlineMs = steadyMs() + longestMs;
    std::vector<std::string> const addresses = this->controlAddresses();
    for (size_t attempt = 0; steadyMs() < deadlineMs; attempt++) {
        std::string const& to = addresses[attempt % addresses.size()];
        auto const answered = call(to, "POST", "/v1/configuration/replace", { { "Host", to } }, config.dump(), 1000);
        if (answered && answered->status == 200) {
            this->record.add("operator", "config " + config["version"].dump() + " acknowledged");
            return;
        }
        sleepMs(200);
    }
    throw std::runtime_error("the configuration was not acknowledged");
}

} // namespace review
