#include "testing/integration/Cluster.h"

#include "cornelpond/app/OperatorClient.h"

#include <arpa/inet.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <set>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cornelpond {

namespace {

    constexpr int firstLastOctet = 11;
    constexpr int blockCount = 30;
    constexpr uint16_t lockPort = 19999; ///< Below the system's range of ephemeral ports.
    constexpr char const* operatorToken = "operators-secret";

    Address addressOf(std::string const& text)
    {
        size_t const colon = text.rfind(':');
        return { text.substr(0, colon), static_cast<uint16_t>(std::stoi(text.substr(colon + 1))) };
    }

    /// Returns a bound socket, or -1 when the address is in use.
    int bindTo(std::string const& ip, uint16_t port)
    {
        int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (!bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)))
            return socket;
        close(socket);
        return -1;
    }

    /// A port of the IP address that was free at the call; it is not reserved.
    uint16_t freePort(std::string const& ip)
    {
        int const socket = bindTo(ip, 0);
        if (socket < 0)
            throw std::runtime_error("no free port on " + ip);
        sockaddr_in address {};
        socklen_t length = sizeof(address);
        getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
        close(socket);
        return ntohs(address.sin_port);
    }

    HttpRequest toHttp(CallerRequest const& from)
    {
        HttpRequest request;
        request.method = from.body.empty() ? "GET" : "POST";
        request.path = from.path;
        request.body = from.body;
        if (!from.idempotencyKey.empty())
            request.headers.add("Idempotency-Key", from.idempotencyKey);
        if (from.isNotRepeatable)
            request.headers.add("Cornelpond-Not-Repeatable", "true");
        if (from.deadlineMs)
            request.headers.add("Cornelpond-Deadline-Ms", std::to_string(from.deadlineMs));
        return request;
    }

} // namespace

std::vector<HostDescription> eightHosts()
{
    return { { "h1", "dc1", true }, { "h2", "dc1", true }, { "h3", "dc1", false }, { "h4", "dc2", true }, { "h5", "dc2", true }, { "h6", "dc2", false }, { "h7", "dc3", true },
        { "h8", "dc3", true } };
}

AddressBlock::AddressBlock()
{
    for (this->blockIndex = 0; this->blockIndex < blockCount; this->blockIndex++) {
        this->lockSocket = bindTo(this->ip(0), lockPort);
        if (this->lockSocket >= 0)
            return;
    }
    throw std::runtime_error("no block of loopback addresses is free");
}

AddressBlock::~AddressBlock()
{
    close(this->lockSocket);
}

std::string AddressBlock::ip(int index) const
{
    return "127.0.0." + std::to_string(firstLastOctet + this->blockIndex * size + index);
}

bool CallerResponse::isReportedNotRun() const
{
    nlohmann::json const refusal = nlohmann::json::parse(this->body, nullptr, false);
    return this->kind == HttpOutcome::Kind::Answered && refusal.is_object() && refusal.value("ran", std::string()) == "no";
}

ClusterHost::ClusterHost(std::string binary, std::string folder, HostDescription description, std::string ip)
    : binary(std::move(binary))
    , folder(std::move(folder))
    , hostDescription(std::move(description))
    , ipAddress(std::move(ip))
{
    std::filesystem::create_directories(this->folder);
}

void ClusterHost::writeSettings(nlohmann::json const& settings)
{
    this->currentSettings = settings;
    std::ofstream(this->folder + "/settings.json") << settings.dump(2);
}

void ClusterHost::start()
{
    std::string const base = this->folder + "/run" + std::to_string(++this->runCount);
    this->process = std::make_unique<ChildProcess>(std::vector<std::string> { this->binary, "serve", "--settings", this->folder + "/settings.json" }, base);
    waitUntil(this->hostDescription.host + " to serve", [&] {
        std::string const output = this->process->output();
        if (output.find("HostStarted") != std::string::npos)
            return true;
        siginfo_t ended {};
        waitid(P_PID, static_cast<id_t>(this->process->pid()), &ended, WEXITED | WNOHANG | WNOWAIT);
        if (ended.si_pid == 0)
            return false;
        this->process.reset();
        throw std::runtime_error(this->hostDescription.host + " did not start: " + output);
    });
}

void ClusterHost::kill()
{
    if (!this->process)
        return;
    this->process->kill();
    this->previousRunLogs += this->process->output();
    this->process.reset();
}

int ClusterHost::waitForExit()
{
    int const code = this->process->waitForExit();
    this->previousRunLogs += this->process->output();
    this->process.reset();
    return code;
}

void ClusterHost::wipeDisk()
{
    std::filesystem::remove_all(this->dataFolder());
}

std::string ClusterHost::address(std::string const& listener) const
{
    auto const& address = this->currentSettings["listen"][listener];
    return address["ip"].get<std::string>() + ":" + std::to_string(address["port"].get<int>());
}

std::string ClusterHost::log() const
{
    return this->previousRunLogs + (this->process ? this->process->output() : std::string());
}

Cluster::Cluster(std::string const& binaryFolder, ClusterOptions givenOptions)
    : binaryFolder(binaryFolder)
    , options(std::move(givenOptions))
{
    std::ofstream(this->folder.path() + "/operator-token") << operatorToken;
    std::ofstream(this->folder.path() + "/peer-token") << "peers-secret";
    this->createHosts();
    this->startProxies();
    this->writeSettings();
}

Cluster::~Cluster() = default;

void Cluster::createHosts()
{
    int index = 0;
    for (auto const& description : this->options.hosts)
        this->hosts.push_back(std::make_unique<ClusterHost>(this->binaryFolder + "/cornelpond", this->folder.path() + "/" + description.host, description, this->addresses.ip(index++)));
    for (auto& host : this->hosts) {
        nlohmann::json listen;
        std::set<uint16_t> ports;
        for (auto const* name : { "callers", "workers", "operators", "peers" }) {
            uint16_t port = freePort(host->ip());
            while (!ports.insert(port).second)
                port = freePort(host->ip());
            listen[name] = { { "ip", host->ip() }, { "port", port } };
        }
        host->writeSettings({ { "listen", listen } });
    }
}

void Cluster::startProxies()
{
    if (this->hosts.size() < 2)
        return;
    std::vector<std::string> command = { this->binaryFolder + "/faultproxy", "--seed", std::to_string(this->options.seed) };
    for (auto const& from : this->hosts) {
        for (auto const& to : this->hosts) {
            if (from != to)
                command.insert(command.end(), { "--link", this->linkName(from->description().host, to->description().host) + "=127.0.0.1:0=" + to->address("peers") });
        }
    }
    this->proxyProcess = std::make_unique<ChildProcess>(command, this->folder.path() + "/proxies", ChildProcess::Input::Lines);
}

void Cluster::writeSettings()
{
    for (auto const& host : this->hosts) {
        auto const& self = host->description();
        nlohmann::json settings = host->settings();
        settings["cluster"] = "test";
        settings["host"] = self.host;
        settings["dataCentre"] = self.dataCentre;
        settings["operatorTokenFile"] = this->folder.path() + "/operator-token";
        settings["times"] = { { "leaseMs", 2000 }, { "driftMarginMs", 200 }, { "announcementExpiryMs", 1500 } };
        if (self.disk)
            settings["dataFolder"] = host->dataFolder();
        if (this->hosts.size() < 2)
            settings["listen"].erase("peers");
        else
            settings["peerTokenFile"] = this->folder.path() + "/peer-token";
        for (auto const& other : this->hosts) {
            if (other == host)
                continue;
            auto const& peer = other->description();
            int const port = std::stoi(this->proxyProcess->waitForWordAfter("link " + this->linkName(self.host, peer.host) + " port "));
            settings["peers"].push_back({ { "host", peer.host }, { "dataCentre", peer.dataCentre }, { "ip", "127.0.0.1" }, { "port", port }, { "disk", peer.disk } });
        }
        settings.merge_patch(this->options.settingsPatch);
        host->writeSettings(settings);
    }
}

void Cluster::startAll()
{
    for (auto& host : this->hosts) {
        if (!host->isRunning())
            host->start();
    }
}

ClusterHost& Cluster::host(std::string const& name)
{
    for (auto& host : this->hosts) {
        if (host->description().host == name)
            return *host;
    }
    throw std::runtime_error("no host " + name);
}

std::vector<std::string> Cluster::hostNamesIn(std::string const& dataCentre) const
{
    std::vector<std::string> names;
    for (auto const& host : this->hosts) {
        if (host->description().dataCentre == dataCentre)
            names.push_back(host->description().host);
    }
    return names;
}

std::vector<std::string> Cluster::allHostNames() const
{
    std::vector<std::string> names;
    for (auto const& host : this->hosts)
        names.push_back(host->description().host);
    return names;
}

std::string Cluster::newPath(std::string const& name)
{
    return this->folder.path() + "/" + name + std::to_string(++this->pathCount);
}

int Cluster::runOperatorCommand(std::string const& host, std::vector<std::string> arguments, std::string& output)
{
    arguments.insert(arguments.begin(), this->binaryFolder + "/cornelpond");
    arguments.insert(arguments.end(), { "--server", this->host(host).address("operators"), "--token-file", this->folder.path() + "/operator-token" });
    return runProgram(arguments, this->newPath("command"), output);
}

nlohmann::json Cluster::status(std::string const& host)
{
    OperatorClient client(addressOf(this->host(host).address("operators")), operatorToken, Duration::seconds(2));
    try {
        return client.call("GET", "/v1/status", std::string());
    } catch (Error const&) {
        return nullptr;
    }
}

nlohmann::json Cluster::callOperatorApi(std::string const& host, std::string const& method, std::string const& target, nlohmann::json const& body)
{
    OperatorClient client(addressOf(this->host(host).address("operators")), operatorToken, Duration::seconds(10));
    return client.call(method, target, body.is_null() ? std::string() : body.dump());
}

std::vector<CallerResponse> Cluster::sendRequests(std::string const& host, std::vector<CallerRequest> const& requests, std::function<void()> const& whileWaiting)
{
    EventLoop loop;
    HttpClient client(loop, HttpClientLimits());
    Address const to = addressOf(this->host(host).address("callers"));
    std::vector<CallerResponse> answers(requests.size());
    size_t open = requests.size();
    for (size_t i = 0; i < requests.size(); i++) {
        HttpSendOptions sendOptions;
        sendOptions.timeout = Duration::milliseconds(requests[i].clientTimeoutMs);
        client.send(to, toHttp(requests[i]), sendOptions, [&answers, &open, i](HttpOutcome const& outcome) {
            answers[i] = { outcome.kind, outcome.response.status, outcome.response.body };
            open--;
        });
    }
    waitUntil("the responses", [&] {
        loop.runOnce();
        if (whileWaiting)
            whileWaiting();
        return open == 0;
    });
    return answers;
}

ResultCode Cluster::submit(std::string const& host, nlohmann::json const& task)
{
    try {
        this->callOperatorApi(host, "POST", "/v1/tasks", task);
        return ResultCode::Ok;
    } catch (Error const& error) {
        return error.code();
    }
}

std::unique_ptr<ChildProcess> Cluster::startFleet(std::string const& dataCentre, std::vector<std::string> const& extra)
{
    std::vector<std::string> command = { this->binaryFolder + "/standin", "--announce-ms", "100", "--record", this->recordPath(), "--data-centre", dataCentre };
    for (auto const& name : this->hostNamesIn(dataCentre))
        command.insert(command.end(), { "--entry", this->host(name).address("workers") });
    command.insert(command.end(), extra.begin(), extra.end());
    return std::make_unique<ChildProcess>(command, this->newPath("fleet"), ChildProcess::Input::Lines);
}

void Cluster::sendLinkCommand(std::string const& from, std::string const& to, std::string const& command)
{
    this->proxyProcess->sendCommand(this->linkName(from, to) + " " + command);
}

void Cluster::cut(std::string const& a, std::string const& b)
{
    this->sendLinkCommand(a, b, "cut both");
    this->sendLinkCommand(b, a, "cut both");
}

void Cluster::cutOneWay(std::string const& from, std::string const& to)
{
    this->sendLinkCommand(from, to, "cut server");
    this->sendLinkCommand(to, from, "cut client");
}

void Cluster::delay(std::string const& a, std::string const& b, int64_t milliseconds, int64_t jitterMilliseconds)
{
    for (auto const& link : { std::make_pair(a, b), std::make_pair(b, a) }) {
        this->sendLinkCommand(link.first, link.second, "delay " + std::to_string(milliseconds));
        this->sendLinkCommand(link.first, link.second, "jitter " + std::to_string(jitterMilliseconds));
    }
}

void Cluster::silenceOpenConnections(std::string const& a, std::string const& b)
{
    this->sendLinkCommand(a, b, "silence");
    this->sendLinkCommand(b, a, "silence");
}

void Cluster::heal(std::string const& a, std::string const& b)
{
    this->sendLinkCommand(a, b, "heal");
    this->sendLinkCommand(b, a, "heal");
}

void Cluster::isolate(std::string const& host)
{
    for (auto const& other : this->allHostNames()) {
        if (other != host)
            this->cut(host, other);
    }
}

void Cluster::cutDataCentre(std::string const& dataCentre)
{
    for (auto const& inside : this->hostNamesIn(dataCentre)) {
        for (auto const& other : this->hosts) {
            if (other->description().dataCentre != dataCentre)
                this->cut(inside, other->description().host);
        }
    }
}

void Cluster::healAll()
{
    if (this->proxyProcess)
        this->proxyProcess->sendCommand("* heal");
}

} // namespace cornelpond
