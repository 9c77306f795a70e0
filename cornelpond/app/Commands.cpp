#include "cornelpond/app/Commands.h"

#include "cornelpond/adapters/http/AddressText.h"
#include "cornelpond/adapters/journal/JournalStorage.h"
#include "cornelpond/adapters/log/FmtEventSink.h"
#include "cornelpond/adapters/log/JsonEventSink.h"
#include "cornelpond/adapters/schema/SchemaCheck.h"
#include "cornelpond/app/Api.h"
#include "cornelpond/app/ControlHost.h"
#include "cornelpond/app/EntryGateway.h"
#include "cornelpond/app/EntryHost.h"
#include "cornelpond/app/HostRandom.h"
#include "cornelpond/app/OperatorClient.h"
#include "cornelpond/app/Settings.h"
#include "cornelpond/app/SettingsWatch.h"
#include "cornelpond/app/TaskGroupReplica.h"
#include "cornelpond/app/TextTable.h"
#include "cornelpond/core/base/Json.h"
#include "cornelpond/core/config/ConfigTable.h"
#include "cornelpond/core/tasks/TaskJson.h"
#include "cornelpond/core/tasks/TaskTable.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace cornelpond {

namespace {

    constexpr Duration logFlushInterval = Duration::milliseconds(50);

    constexpr std::string_view usage = R"(cornelpond: a scheduler for colocated latency-critical and batch work

usage: cornelpond COMMAND [OPTIONS]

  serve    run an entry host               cornelpond serve --settings /etc/cornelpond/settings.json
  fleet    run a host that finds its peers from seeds, in the role of its settings
                                           cornelpond fleet --settings /etc/cornelpond/settings.json
  check    validate a settings or          cornelpond check settings.json
           configuration document          cornelpond check --configuration config.json
  apply    change the configuration        cornelpond apply config.json --expect 7
  get      read tasks or the configuration cornelpond get tasks --selector 'kind = plan'
                                           cornelpond get config --version 7
                                           cornelpond get history
  submit   submit a task                   cornelpond submit task.json --wait
  cancel   cancel one task or many         cornelpond cancel plan-7
                                           cornelpond cancel --selector 'season = 2026'
  drain    stop placing work on a worker   cornelpond drain w3
                                           cornelpond drain w3 --release
  status   the host and its fleet          cornelpond status
  explain  why a task is here or waits     cornelpond explain plan-7
  inspect  read a data folder offline      cornelpond inspect /var/lib/cornelpond

'cornelpond COMMAND --help' lists the options. Client commands take --server IP:PORT (or
CORNELPOND_SERVER), --token-file FILE (or CORNELPOND_TOKEN_FILE) and --json.
Exit codes: 0 done, 1 refused, 2 bad input, 3 no answer, 4 internal fault.
)";

    constexpr Duration pollInterval = Duration::milliseconds(200);

    /// The arguments of one subcommand after parsing.
    class Arguments {
    public:
        Arguments(std::string const& command, std::string const& positional, int argc, char const* const* argv, std::function<void(cxxopts::Options&)> const& add)
            : options("cornelpond " + command)
        {
            this->options.add_options()("h,help", "show this help")("positional", "", cxxopts::value<std::vector<std::string>>());
            add(this->options);
            this->options.parse_positional({ "positional" });
            this->options.positional_help(positional);
            try {
                this->result = this->options.parse(argc, argv);
            } catch (cxxopts::exceptions::exception const& error) {
                throw Error(ResultCode::BadArgument, error.what());
            }
        }

        bool wantsHelp() const { return this->result.count("help") > 0; }
        std::string help() const { return this->options.help(); }
        bool has(std::string const& name) const { return this->result.count(name) > 0; }

        std::string text(std::string const& name) const
        {
            return this->has(name) ? this->result[name].as<std::string>() : std::string();
        }

        int64_t number(std::string const& name, int64_t fallback) const
        {
            return this->has(name) ? this->result[name].as<int64_t>() : fallback;
        }

        /// The one positional argument. Throws Error(BadArgument) unless there is exactly one.
        std::string positional(std::string const& what) const
        {
            if (!this->has("positional") || this->result["positional"].as<std::vector<std::string>>().size() != 1)
                throw Error(ResultCode::BadArgument, "expected exactly one argument: " + what);
            return this->result["positional"].as<std::vector<std::string>>().front();
        }

    private:
        cxxopts::Options options;
        cxxopts::ParseResult result;
    };

    void addClientOptions(cxxopts::Options& options)
    {
        options.add_options()("server", "operators' address IP:PORT", cxxopts::value<std::string>());
        options.add_options()("token-file", "file with the operator token", cxxopts::value<std::string>());
        options.add_options()("timeout-ms", "how long to wait for an answer", cxxopts::value<int64_t>());
        options.add_options()("json", "print JSON");
    }

    std::string optionOrEnvironment(Arguments const& arguments, std::string const& option, char const* variable, std::string const& fallback)
    {
        if (arguments.has(option))
            return arguments.text(option);
        char const* value = std::getenv(variable);
        return value ? value : fallback;
    }

    std::unique_ptr<OperatorClient> makeClient(Arguments const& arguments)
    {
        constexpr int64_t defaultTimeoutMs = 10000;
        Address const server = addressFromText(optionOrEnvironment(arguments, "server", "CORNELPOND_SERVER", "127.0.0.1:7002"));
        std::string const tokenFile = optionOrEnvironment(arguments, "token-file", "CORNELPOND_TOKEN_FILE", std::string());
        std::string token = tokenFile.empty() ? std::string() : readTextFile(tokenFile);
        while (!token.empty() && std::isspace(static_cast<unsigned char>(token.back())))
            token.pop_back();
        return std::make_unique<OperatorClient>(server, token, Duration::milliseconds(arguments.number("timeout-ms", defaultTimeoutMs)));
    }

    void printJson(nlohmann::json const& value)
    {
        std::cout << value.dump(2) << "\n";
    }

    void printMessage(Arguments const& arguments, nlohmann::json const& answer)
    {
        if (arguments.has("json"))
            printJson(answer);
        else
            std::cout << answer.value("message", std::string("done")) << std::endl;
    }

    std::string randomOperationId()
    {
        return fmt::format("op-{:016x}", systemEntropy());
    }

    void printFaults(std::vector<DocumentFault> const& faults)
    {
        for (auto const& fault : faults)
            fmt::print(stderr, "{}: {}\n", fault.pointer.empty() ? "(document)" : fault.pointer, fault.message);
    }

    int serve(int argc, char const* const* argv)
    {
        Arguments const arguments("serve", "", argc, argv, [](cxxopts::Options& options) {
            options.add_options()("settings", "settings file", cxxopts::value<std::string>());
            options.add_options()("default", "run one host on loopback with its disk in this folder", cxxopts::value<std::string>());
        });
        if (arguments.wantsHelp()) {
            std::cout << arguments.help();
            return 0;
        }
        if (arguments.has("settings") == arguments.has("default"))
            throw Error(ResultCode::BadArgument, "give either --settings FILE or --default FOLDER");
        Settings settings = arguments.has("settings") ? loadSettings(arguments.text("settings")) : settingsFromJson(defaultSettings(arguments.text("default")));
        std::signal(SIGXFSZ, SIG_IGN); // As in `fleet`.
        EventLoop loop;
        FmtEventSink events(loop, settings.host);
        loop.setExceptionHandler([&](std::exception const& error) { events.emit(Event(EventId::InternalFault).with("what", std::string(error.what()))); });
        EntryHost host(loop, std::move(settings), events);
        host.start();
        auto const stop = [&] { host.shutDown([&] { loop.stop(); }); };
        loop.onSignal(SIGTERM, stop);
        loop.onSignal(SIGINT, stop);
        loop.run();
        return 0;
    }

    std::string settingsPath(Arguments const& arguments)
    {
        if (arguments.has("settings") == arguments.has("settings-variable"))
            throw Error(ResultCode::BadArgument, "give either --settings FILE or --settings-variable NAME");
        if (arguments.has("settings"))
            return arguments.text("settings");
        char const* path = std::getenv(arguments.text("settings-variable").c_str());
        if (!path)
            throw Error(ResultCode::BadArgument, "the environment variable " + arguments.text("settings-variable") + " is not set");
        return path;
    }

    template <typename Host>
    int runFleetHost(std::string const& path, FleetSettings const& settings)
    {
        EventLoop loop;
        JsonEventSink events(loop, HostId(settings.name), JsonLogLimits(), writeToStandardOutput);
        std::function<void()> flushLog = [&] {
            events.flush();
            loop.after(logFlushInterval, flushLog);
        };
        loop.after(logFlushInterval, flushLog);
        loop.setExceptionHandler([&](std::exception const& error) { events.emit(Event(EventId::InternalFault).with("what", std::string(error.what()))); });
        Host host(loop, settings, events);
        SettingsWatch watch(loop, events, path, [&](FleetSettings const& changed) { host.onSettingsChanged(changed); });
        auto const stop = [&] { host.shutDown([&] { loop.stop(); }); };
        loop.onSignal(SIGTERM, stop);
        loop.onSignal(SIGINT, stop);
        loop.onSignal(SIGHUP, [&] { watch.reload(); });
        host.start();
        watch.start();
        loop.run();
        return 0;
    }

    int fleet(int argc, char const* const* argv)
    {
        Arguments const arguments("fleet", "", argc, argv, [](cxxopts::Options& options) {
            options.add_options()("settings", "settings file", cxxopts::value<std::string>());
            options.add_options()("settings-variable", "environment variable that holds the settings file's path", cxxopts::value<std::string>());
        });
        if (arguments.wantsHelp()) {
            std::cout << arguments.help();
            return 0;
        }
        std::string const path = settingsPath(arguments);
        FleetSettings const settings = loadFleetSettings(path);
        // Writing to a peer or log reader that has closed its end, or beyond the limit on the size of files, must fail with
        // an error, not end the process.
        std::signal(SIGPIPE, SIG_IGN);
        std::signal(SIGXFSZ, SIG_IGN);
        return settings.role == FleetRole::Entry ? runFleetHost<EntryGateway>(path, settings) : runFleetHost<ControlHost>(path, settings);
    }

    int check(int argc, char const* const* argv)
    {
        Arguments const arguments("check", "FILE", argc, argv, [](cxxopts::Options& options) {
            options.add_options()("configuration", "the file is a configuration, not settings");
        });
        if (arguments.wantsHelp()) {
            std::cout << arguments.help();
            return 0;
        }
        nlohmann::json const document = parseJson(readTextFile(arguments.positional("FILE")), JsonLimits());
        std::vector<DocumentFault> faults = arguments.has("configuration") ? checkSchema(policySchema(), document)
            : isFleetSettings(document)                                    ? checkFleetSettings(document)
                                                                           : checkSettings(document);
        if (faults.empty() && arguments.has("configuration"))
            faults = crossCheckPolicy(document);
        if (faults.empty()) {
            std::cout << "valid\n";
            return 0;
        }
        printFaults(faults);
        return static_cast<int>(ExitCode::BadInput);
    }

    int apply(int argc, char const* const* argv)
    {
        Arguments const arguments("apply", "FILE", argc, argv, [](cxxopts::Options& options) {
            addClientOptions(options);
            options.add_options()("expect", "the version this change is based on", cxxopts::value<int64_t>());
            options.add_options()("operation", "id of this change; resend with the same", cxxopts::value<std::string>());
            options.add_options()("author", "who changes it", cxxopts::value<std::string>());
        });
        if (arguments.wantsHelp()) {
            std::cout << arguments.help();
            return 0;
        }
        nlohmann::json const document = parseJson(readTextFile(arguments.positional("FILE")), JsonLimits());
        auto const client = makeClient(arguments);
        int64_t const current = arguments.has("expect") ? arguments.number("expect", 0) : client->call("GET", "/v1/config", std::string())["version"].get<int64_t>();
        std::string const operation = arguments.has("operation") ? arguments.text("operation") : randomOperationId();
        char const* user = std::getenv("USER");
        std::string const author = arguments.has("author") ? arguments.text("author") : (user ? user : "unknown");
        nlohmann::json const change = { { "expectedVersion", current }, { "operationId", operation }, { "author", author }, { "document", document } };
        nlohmann::json const answer = client->call("PUT", "/v1/config", change.dump());
        if (arguments.has("json"))
            printJson(answer);
        else
            std::cout << "version " << answer["version"] << " accepted\n";
        return 0;
    }

    void printTasks(nlohmann::json const& answer)
    {
        TextTable table({ "TASK", "CLASS", "STATE", "ATTEMPT", "WORKER", "FAILURES", "EVICTIONS" });
        for (auto const& task : answer["tasks"]) {
            table.add({ task["spec"]["id"].get<std::string>(), task["spec"]["class"].get<std::string>(), task["state"].get<std::string>(), std::to_string(task["attempt"].get<uint64_t>()),
                task["worker"].get<std::string>(), std::to_string(task["failures"].get<uint64_t>()), std::to_string(task["evictions"].get<uint64_t>()) });
        }
        std::cout << table.text();
        if (!answer["complete"].get<bool>())
            std::cout << "(more tasks match; narrow the selector)\n";
    }

    void printHistory(nlohmann::json const& answer)
    {
        TextTable table({ "VERSION", "AUTHOR", "OPERATION", "CHANGED (ms since 1970)" });
        for (auto const& version : answer["versions"])
            table.add({ std::to_string(version["version"].get<uint64_t>()), version["author"].get<std::string>(), version["operationId"].get<std::string>(), std::to_string(version["changedAtMs"].get<int64_t>()) });
        std::cout << table.text();
    }

    int get(int argc, char const* const* argv)
    {
        Arguments const arguments("get", "tasks | config | history | TASK", argc, argv, [](cxxopts::Options& options) {
            addClientOptions(options);
            options.add_options()("selector", "only tasks whose labels match", cxxopts::value<std::string>());
            options.add_options()("state", "only tasks in this state", cxxopts::value<std::string>());
            options.add_options()("version", "an older configuration version", cxxopts::value<std::string>());
        });
        if (arguments.wantsHelp()) {
            std::cout << arguments.help();
            return 0;
        }
        std::string const what = arguments.positional("tasks, config, history or a task's id");
        auto const client = makeClient(arguments);
        bool const asJson = arguments.has("json");
        if (what == "tasks") {
            nlohmann::json const answer = client->call("GET", "/v1/tasks?selector=" + percentEncode(arguments.text("selector")) + "&state=" + percentEncode(arguments.text("state")), std::string());
            asJson ? printJson(answer) : printTasks(answer);
        } else if (what == "config") {
            printJson(client->call("GET", "/v1/config?version=" + percentEncode(arguments.text("version")), std::string()));
        } else if (what == "history") {
            nlohmann::json const answer = client->call("GET", "/v1/config/history", std::string());
            asJson ? printJson(answer) : printHistory(answer);
        } else {
            printJson(client->call("GET", "/v1/tasks/" + percentEncode(what), std::string()));
        }
        return 0;
    }

    int waitForEnd(OperatorClient& client, std::string const& id)
    {
        std::string printedLine;
        while (true) {
            nlohmann::json const task = client.call("GET", "/v1/tasks/" + percentEncode(id), std::string());
            std::string const state = task["state"].get<std::string>();
            std::string const line = fmt::format("{}: {} (attempt {}){}", id, state, task["attempt"].get<uint64_t>(), task["worker"].get<std::string>().empty() ? "" : " on " + task["worker"].get<std::string>());
            if (line != printedLine)
                fmt::print(stderr, "{}\n", line);
            printedLine = line;
            if (state == "finished")
                return 0;
            if (state == "failed" || state == "cancelled")
                return static_cast<int>(ExitCode::Refused);
            client.sleep(pollInterval);
        }
    }

    int submit(int argc, char const* const* argv)
    {
        Arguments const arguments("submit", "FILE", argc, argv, [](cxxopts::Options& options) {
            addClientOptions(options);
            options.add_options()("wait", "wait until the task ends, showing progress");
        });
        if (arguments.wantsHelp()) {
            std::cout << arguments.help();
            return 0;
        }
        nlohmann::json const document = parseJson(readTextFile(arguments.positional("FILE")), JsonLimits());
        TaskSpec const spec = taskSpecFromJson(document);
        auto const client = makeClient(arguments);
        printMessage(arguments, client->call("POST", "/v1/tasks", document.dump()));
        return arguments.has("wait") ? waitForEnd(*client, spec.id.value()) : 0;
    }

    int cancel(int argc, char const* const* argv)
    {
        Arguments const arguments("cancel", "TASK", argc, argv, [](cxxopts::Options& options) {
            addClientOptions(options);
            options.add_options()("selector", "all tasks whose labels match", cxxopts::value<std::string>());
        });
        if (arguments.wantsHelp()) {
            std::cout << arguments.help();
            return 0;
        }
        nlohmann::json body;
        if (arguments.has("selector"))
            body["selector"] = arguments.text("selector");
        else
            body["task"] = arguments.positional("TASK");
        printMessage(arguments, makeClient(arguments)->call("POST", "/v1/cancel", body.dump()));
        return 0;
    }

    int drain(int argc, char const* const* argv)
    {
        Arguments const arguments("drain", "WORKER", argc, argv, [](cxxopts::Options& options) {
            addClientOptions(options);
            options.add_options()("release", "place work there again");
        });
        if (arguments.wantsHelp()) {
            std::cout << arguments.help();
            return 0;
        }
        nlohmann::json const body = { { "worker", arguments.positional("WORKER") }, { "drained", !arguments.has("release") } };
        printMessage(arguments, makeClient(arguments)->call("POST", "/v1/drain", body.dump()));
        return 0;
    }

    void printHosts(nlohmann::json const& status)
    {
        TextTable groups({ "GROUP", "LEADER", "VOTERS" });
        for (auto const& group : status["groups"]) {
            std::string voters;
            for (auto const& voter : group["voters"])
                voters += (voters.empty() ? "" : " ") + voter.get<std::string>();
            std::string const leader = group["leader"].get<std::string>();
            groups.add({ group["group"].get<std::string>(), leader.empty() ? "-" : leader, voters.empty() ? "(not kept here)" : voters });
        }
        std::cout << groups.text() << "\n";
        TextTable peers({ "PEER", "DATA CENTRE", "STATE", "LINK", "CONFIGURATION" });
        for (auto const& peer : status["peers"]) {
            peers.add({ peer["host"].get<std::string>(), peer["dataCentre"].get<std::string>(), peer["state"].get<std::string>(), peer["linkUp"].get<bool>() ? "up" : "down",
                std::to_string(peer["configVersion"].get<uint64_t>()) });
        }
        std::cout << peers.text();
    }

    void printStatus(nlohmann::json const& status)
    {
        std::cout << fmt::format("host {} in {}{}, configuration {}, {} tasks ({} queued)\n\n", status["host"].get<std::string>(), status["dataCentre"].get<std::string>(),
            status["draining"].get<bool>() ? " (draining)" : "", status["configVersion"].get<uint64_t>(), status["tasks"].get<uint64_t>(), status["queuedTasks"].get<uint64_t>());
        TextTable workers({ "WORKER", "RACK", "CORES", "RESERVED", "MEMORY MIB", "RESERVED", "TASKS" });
        for (auto const& worker : status["workers"]) {
            auto const amount = [&](char const* which, char const* key) { return worker[which][key].get<int64_t>(); };
            workers.add({ worker["worker"].get<std::string>(), worker["rack"].get<std::string>(), fmt::format("{:.1f}", static_cast<double>(amount("capacity", "milliCores")) / 1000),
                fmt::format("{:.1f}", static_cast<double>(amount("reserved", "milliCores")) / 1000), std::to_string(amount("capacity", "memoryMiB")), std::to_string(amount("reserved", "memoryMiB")),
                std::to_string(worker["tasks"].get<uint64_t>()) });
        }
        std::cout << workers.text() << "\n";
        TextTable servers({ "BACKEND SERVER", "SERVICE", "SLOTS", "IN FLIGHT" });
        for (auto const& server : status["backendServers"])
            servers.add({ server["server"].get<std::string>(), server["service"].get<std::string>(), std::to_string(server["slots"].get<uint64_t>()), std::to_string(server["inFlight"].get<uint64_t>()) });
        std::cout << servers.text() << "\n";
        printHosts(status);
    }

    int status(int argc, char const* const* argv)
    {
        Arguments const arguments("status", "", argc, argv, addClientOptions);
        if (arguments.wantsHelp()) {
            std::cout << arguments.help();
            return 0;
        }
        nlohmann::json const answer = makeClient(arguments)->call("GET", "/v1/status", std::string());
        arguments.has("json") ? printJson(answer) : printStatus(answer);
        return 0;
    }

    int explain(int argc, char const* const* argv)
    {
        Arguments const arguments("explain", "TASK", argc, argv, addClientOptions);
        if (arguments.wantsHelp()) {
            std::cout << arguments.help();
            return 0;
        }
        nlohmann::json const answer = makeClient(arguments)->call("GET", "/v1/explain/" + percentEncode(arguments.positional("TASK")), std::string());
        if (arguments.has("json")) {
            printJson(answer);
            return 0;
        }
        std::string const worker = answer["worker"].get<std::string>();
        std::cout << answer["task"].get<std::string>() << ": " << answer["state"].get<std::string>() << (worker.empty() ? "" : " on " + worker) << "\n  "
                  << answer["reason"].get<std::string>() << "\n";
        return 0;
    }

    nlohmann::json inspectGroup(std::string const& folder)
    {
        size_t tornBytes = 0;
        StoredLog const log = JournalStorage::inspect(folder, tornBytes);
        LogIndex const last = log.entries.empty() ? log.snapshot.lastIndex : log.entries.back().index;
        return {
            { "term", log.hardState.term.value() },
            { "votedFor", log.hardState.votedFor.value() },
            { "lastIndex", last.value() },
            { "snapshotIndex", log.snapshot.lastIndex.value() },
            { "entries", log.entries.size() },
            { "tornBytes", tornBytes },
        };
    }

    nlohmann::json inspectTasks(std::string const& folder)
    {
        size_t tornBytes = 0;
        StoredLog const log = JournalStorage::inspect(folder, tornBytes);
        TaskGroupReplica replica;
        StateMachineHooks const hooks = replica.hooks();
        if (log.snapshot.lastIndex > LogIndex(0))
            hooks.restore(log.snapshot.state);
        for (auto const& entry : log.entries) {
            if (entry.kind == EntryKind::Command)
                hooks.apply(entry.index, entry.payload);
        }
        std::map<std::string, size_t> counts;
        for (auto const& [id, task] : replica.tasks().all())
            counts[std::string(taskStateName(task.state))]++;
        return counts;
    }

    int inspect(int argc, char const* const* argv)
    {
        Arguments const arguments("inspect", "FOLDER", argc, argv, [](cxxopts::Options& options) { options.add_options()("json", "print JSON"); });
        if (arguments.wantsHelp()) {
            std::cout << arguments.help();
            return 0;
        }
        std::string const folder = arguments.positional("FOLDER");
        nlohmann::json const groups = { { "config", inspectGroup(folder + "/config") }, { "tasks", inspectGroup(folder + "/tasks") } };
        nlohmann::json const tasks = inspectTasks(folder + "/tasks");
        if (arguments.has("json")) {
            printJson({ { "groups", groups }, { "tasks", tasks } });
            return 0;
        }
        TextTable table({ "GROUP", "TERM", "VOTED FOR", "LAST INDEX", "SNAPSHOT", "ENTRIES", "TORN BYTES" });
        for (auto const& group : groups.items()) {
            auto const number = [&](char const* key) { return std::to_string(group.value()[key].get<uint64_t>()); };
            table.add({ group.key(), number("term"), group.value()["votedFor"].get<std::string>(), number("lastIndex"), number("snapshotIndex"), number("entries"), number("tornBytes") });
        }
        std::cout << table.text() << "\n";
        TextTable states({ "TASK STATE", "COUNT" });
        for (auto const& state : tasks.items())
            states.add({ state.key(), std::to_string(state.value().get<size_t>()) });
        std::cout << states.text();
        return 0;
    }

    struct Command {
        std::string_view name;
        int (*run)(int argc, char const* const* argv);
    };

    constexpr std::array commands = {
        Command { "serve", serve },
        Command { "fleet", fleet },
        Command { "check", check },
        Command { "apply", apply },
        Command { "get", get },
        Command { "submit", submit },
        Command { "cancel", cancel },
        Command { "drain", drain },
        Command { "status", status },
        Command { "explain", explain },
        Command { "inspect", inspect },
    };

    ExitCode exitCodeOf(ResultCode code)
    {
        if (code == ResultCode::Unreachable || code == ResultCode::ForwardFailed)
            return ExitCode::Unreachable;
        if (code == ResultCode::Internal)
            return ExitCode::Internal;
        bool const isBadInput = static_cast<int>(code) >= 100 && static_cast<int>(code) < 200 && code != ResultCode::NotFound && code != ResultCode::BadToken;
        return isBadInput ? ExitCode::BadInput : ExitCode::Refused;
    }

} // namespace

std::string_view usageText()
{
    return usage;
}

int runCommand(int argc, char const* const* argv)
{
    for (auto const& command : commands) {
        if (command.name != argv[0])
            continue;
        try {
            return command.run(argc, argv);
        } catch (Error const& error) {
            fmt::print(stderr, "error {} {}: {}\n", static_cast<int>(error.code()), resultCodeInfo(error.code()).name, error.what());
            return static_cast<int>(exitCodeOf(error.code()));
        } catch (std::exception const& error) {
            fmt::print(stderr, "error {} Internal: {}\n", static_cast<int>(ResultCode::Internal), error.what());
            return static_cast<int>(ExitCode::Internal);
        }
    }
    fmt::print(stderr, "error {} BadArgument: unknown command '{}'\n\n{}", static_cast<int>(ResultCode::BadArgument), argv[0], usage);
    return static_cast<int>(ExitCode::BadInput);
}

} // namespace cornelpond
