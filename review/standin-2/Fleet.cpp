#include "Fleet.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr int restartDelayMs = 500;

    int residentMb(pid_t process)
    {
        std::ifstream in("/proc/" + std::to_string(process) + "/statm");
        long total = 0;
        long resident = 0;
        in >> total >> resident;
        return static_cast<int>(resident * sysconf(_SC_PAGESIZE) / (1024 * 1024));
    }

    char const* roleName(Role role)
    {
        return role == Role::Control ? "control" : "entry";
    }

} // namespace

Record::Record(std::string const& path)
    : out(path, std::ios::trunc)
    , startedAt(Clock::now())
{
}

double Record::seconds() const
{
    return std::chrono::duration<double>(Clock::now() - this->startedAt).count();
}

void Record::line(std::string const& text)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", this->seconds());
    this->out << time << text << std::endl;
}

Fleet::Fleet(Record& record, FleetSize size)
    : record(record)
    , size(size)
{
    int const id = getpid();
    this->prefix = "127." + std::to_string(10 + id % 200) + "." + std::to_string(id / 200 % 250) + ".";
    char path[] = "/tmp/cornelpond-review-XXXXXX";
    if (!mkdtemp(path))
        throw std::runtime_error("cannot create a temporary folder");
    this->folder = path;
}

Fleet::~Fleet()
{
    this->stop();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

void Fleet::stop()
{
    this->isEnding = true;
    if (this->watcher.joinable())
        this->watcher.join();
    for (auto& process : this->processes) {
        if (process.id > 0) {
            ::kill(process.id, SIGKILL);
            ::waitpid(process.id, nullptr, 0);
        }
        process.id = -1;
    }
}

void Fleet::start()
{
    for (int i = 1; i <= this->size.controlHosts; i++)
        this->processes.push_back({ Role::Control, i, -1, true, Clock::now() });
    for (int i = 1; i <= this->size.entryHosts; i++)
        this->processes.push_back({ Role::Entry, i, -1, true, Clock::now() });
    for (auto& process : this->processes)
        this->spawn(process);
    this->watcher = std::thread([this] { this->watch(); });
}

Json Fleet::settingsOf(Process const& process) const
{
    bool const isControl = process.role == Role::Control;
    std::string const own = isControl ? this->controlIp(process.number) : this->entryIp(process.number);
    Json seeds = Json::array();
    for (int i = 1; i <= 3; i++)
        seeds.push_back(this->controlIp(i) + ":" + std::to_string(controlPort));
    Json settings { { "role", roleName(process.role) }, { "cluster", "fleet" }, { "name", roleName(process.role) + std::string("-") + std::to_string(process.number) },
        { "dataCentre", "z" + std::to_string(process.number) }, { "firstStart", process.isFirstStart }, { "seeds", seeds }, { "lossTolerance", 1 },
        { "listen", { { "peers", own + ":7720" }, { "metrics", own + ":7721" } } }, { "times", { { "maxLeaseMs", 6000 } } }, { "limits", { { "descriptors", 4096 }, { "reservedDescriptors", 200 } } } };
    if (isControl) {
        settings["listen"]["control"] = own + ":" + std::to_string(controlPort);
        settings["dataFolder"] = this->folder + "/data" + std::to_string(process.number);
        settings["placement"]["slowdownElsewhere"] = 3;
        if (!this->adviceAddress.empty())
            settings["permitService"] = this->adviceAddress;
    } else {
        settings["listen"]["callers"] = own + ":" + std::to_string(callerPort);
        settings["listen"]["readiness"] = own + ":8167";
    }
    return settings;
}

void Fleet::spawn(Process& process)
{
    std::string const base = this->folder + "/" + roleName(process.role) + std::to_string(process.number);
    std::ofstream(base + ".json") << this->settingsOf(process).dump();
    std::string program = "target/bin/cornelpond";
    std::string command = "fleet";
    std::string option = "--settings-variable";
    std::string variable = "CORNELPOND_NODE_FILE";
    std::string setting = variable + "=" + base + ".json";
    char* const arguments[] = { program.data(), command.data(), option.data(), variable.data(), nullptr };
    char* const environment[] = { setting.data(), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, (base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, (base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    int const error = posix_spawn(&process.id, program.c_str(), &actions, nullptr, arguments, environment);
    posix_spawn_file_actions_destroy(&actions);
    if (error)
        throw std::runtime_error("cannot start " + program);
    process.isFirstStart = false;
    this->record.line(std::string("platform: started ") + roleName(process.role) + " " + std::to_string(process.number));
}

void Fleet::watch()
{
    while (!this->isEnding) {
        sleepMs(50);
        std::lock_guard<std::mutex> const lock(this->mutex);
        for (auto& process : this->processes) {
            if (process.id < 0) {
                if (Clock::now() >= process.startAt)
                    this->spawn(process);
                continue;
            }
            int const usedMb = process.role == Role::Control ? residentMb(process.id) : 0;
            this->peakMb = std::max(this->peakMb.load(), usedMb);
            if (this->memoryLimitMb && usedMb > this->memoryLimitMb) {
                this->record.line("platform: control " + std::to_string(process.number) + " uses " + std::to_string(usedMb) + " MB, over its memory-mb: killed");
                ::kill(process.id, SIGKILL);
            }
            int status = 0;
            if (::waitpid(process.id, &status, WNOHANG) != process.id)
                continue;
            this->ended.push_back({ process.role, process.number, status });
            this->record.line(std::string("platform: ") + roleName(process.role) + " " + std::to_string(process.number) + " ended "
                + (WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status)) : "with code " + std::to_string(WEXITSTATUS(status))));
            process.id = -1;
            process.startAt = Clock::now() + std::chrono::milliseconds(restartDelayMs);
        }
    }
}

std::vector<ProcessEnd> Fleet::ends() const
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    return this->ended;
}

HttpReply Fleet::callControl(int number, HttpCall const& call, int timeoutMs) const
{
    return callHttp(this->controlIp(number), controlPort, call, timeoutMs);
}

HttpReply Fleet::callEntry(int number, HttpCall const& call, int timeoutMs) const
{
    HttpCall named = call;
    named.host = "q.example";
    return callHttp(this->entryIp(number), callerPort, named, timeoutMs);
}

bool Fleet::configure(Json const& wanted)
{
    std::string const body = wanted.dump();
    for (int attempt = 0; attempt < 40; attempt++) {
        HttpReply const reply = this->callControl(1 + attempt % this->size.controlHosts, { "POST", "/v1/configuration/replace", "", body, "" }, 2000);
        if (reply.status == 200)
            return true;
        sleepMs(250);
    }
    return false;
}

Json route(std::string const& name, std::string const& prefix)
{
    return { { "name", name }, { "host", "q.example" }, { "path-prefix", prefix }, { "kind", "non_idempotent" }, { "timeout-ms", 3000 }, { "target-latency-ms", 1000 }, { "priority", 2 }, { "service", "svc" },
        { "max-attempts", 3 }, { "stretch-factor", 2.0 } };
}

Json configuration(int64_t version, Json const& routes)
{
    Json const service { { "name", "svc" }, { "health-check-path", "/health" }, { "max-connections", 64 }, { "protocol", "h1" }, { "tls", false }, { "enforces-capacity", true }, { "standby", false } };
    return { { "version", version }, { "routes", routes }, { "services", Json::array({ service }) },
        { "limits", { { "max-header-bytes", 16384 }, { "max-body-bytes", 262144 }, { "header-timeout-ms", 3000 }, { "idle-timeout-ms", 15000 } } } };
}

void sleepMs(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

} // namespace review
