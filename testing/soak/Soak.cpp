#include "testing/soak/Soak.h"

#include "cornelpond/core/base/ResultCode.h"
#include "testing/faultproxy/FaultProxy.h"
#include "testing/integration/FleetProcesses.h"
#include "testing/integration/JournalFiles.h"
#include "testing/soak/CancelCheck.h"
#include "testing/soak/EvacuationCheck.h"
#include "testing/soak/IdleConnections.h"
#include "testing/soak/OpenCaller.h"
#include "testing/soak/ProcessWatch.h"
#include "testing/soak/SoakClients.h"
#include "testing/soak/WorkerServer.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sys/resource.h>
#include <unistd.h>

namespace cornelpond {

namespace {

    constexpr int firstEntryHost = 8;
    constexpr Duration workerStep = Duration::milliseconds(5);
    constexpr Duration heartbeatInterval = Duration::milliseconds(500);
    constexpr Duration heartbeatTimeout = Duration::seconds(1);
    constexpr double injectedLateShare = 0.1;
    constexpr size_t cancelledJobCount = 12;
    constexpr Duration evacuationTime = Duration::seconds(6);
    constexpr Duration cutTime = Duration::seconds(9); ///< Longer than any lease.
    constexpr size_t garbageBytes = 37;
    constexpr Duration processCheckInterval = Duration::milliseconds(100);
    constexpr Duration oddHeartbeatInterval = Duration::milliseconds(50);
    /// The default of the setting shutdownBoundMs is 5 s; the rest is for a process that is slow to end.
    constexpr Duration stopTimeout = Duration::seconds(6);
    constexpr Duration cancelDelay = Duration::milliseconds(200);
    constexpr Duration removedQueueDelay = Duration::milliseconds(1500); ///< Until all hosts know that a queue is removed.

    DataCentreId dataCentreOf(size_t worker)
    {
        constexpr size_t dataCentreCount = 3;
        return DataCentreId("dc" + std::to_string(worker % dataCentreCount));
    }

    /// The server of one worker and the proxy through which the fleet reaches it.
    struct SoakWorker {
        WorkerId id;
        std::unique_ptr<WorkerServer> server;
        std::unique_ptr<FaultProxy> proxy;
        std::unique_ptr<IdleConnections> foreignConnections;
        std::string address;
        TimePoint nextHeartbeat;
    };

    /// True if the run must show that cancels stop tasks that last.
    bool requiresJudgedCancels(FaultSet set)
    {
        return set == FaultSet::Cancels || set == FaultSet::CancelledRuns;
    }

    /// True if callers cancel jobs with tasks that last, all the time.
    bool hasLastingJobs(FaultSet set)
    {
        return set == FaultSet::CancelledRuns || set == FaultSet::None || set == FaultSet::DeadWays || set == FaultSet::DeadRelay;
    }

    bool hasSecondQueue(FaultSet set)
    {
        return set == FaultSet::Cancels || set == FaultSet::CancelledRuns;
    }

    bool hasEvacuations(FaultSet set)
    {
        return set == FaultSet::Evacuations || set == FaultSet::CancelledRuns;
    }

    class SoakRun {
    public:
        explicit SoakRun(SoakOptions const& options);
        SoakResult run();

    private:
        void startFleet();
        void linkPeers();
        void addWorkers();
        void step();
        void sendHeartbeats();
        void inject(FaultStep const& fault);
        void injectHost(FaultStep const& fault, int host);
        void injectWorker(FaultStep const& fault, SoakWorker& worker);
        void crash(SoakWorker& worker);
        void goDown(SoakWorker& worker);
        void restart(SoakWorker& worker);
        void restartAndCut(SoakWorker& worker, Duration cutAfter);
        void restartSilently(SoakWorker& worker, Duration downTime, bool keepsConnections);
        void restartSilentlyAndCut(SoakWorker& worker, Duration cutAfter, bool keepsConnections);
        void restartMostSilently(FaultStep const& fault);
        void submitWhileDown();
        void setLateOrders(bool outliveProcesses);
        void setUsualOrders();
        void logOrders(SoakWorker& worker);
        void writeWorkerLog(std::string const& line);
        int entryHostFor(FaultStep const& fault) const;
        int controlHostFor(FaultStep const& fault) const;
        void pauseHost(int host, Duration span);
        LinkFaults soundWorkerLink() const;
        void cutOneWay(FaultStep const& fault, SoakWorker& worker);
        void injectOutage(FaultStep const& fault, int host);
        void fillDisk(FaultStep const& fault, int host);
        void loseMajority(FaultStep const& fault, int spared);
        void injectQueueChange(FaultStep const& fault);
        OpenCaller::Call nextCall();
        void startHost(int host);
        void killAndRestart(int host, Duration after, std::function<void()> prepare);
        void stopAndRestart(int host);
        void restartStopped(int host, TimePoint bound);
        void checkProcesses();
        void watchProcess(int host);
        void noteStandstill(TimePoint now);
        void sendOddHeartbeat();
        void addOpenCallers();
        void reportOnce(std::string const& text);
        void forEachLink(int host, std::function<void(FaultProxy&, bool isOutgoing)> const& action);
        void tearJournal(int host);
        void runFor(Duration span);
        bool isFinished() const;
        void collect(SoakResult& result);
        void keepLogs(SoakResult const& result);
        SoakAddresses addresses() const;

        SoakOptions options;
        EventLoop loop;
        SeededRandom random;
        FakeClock workerClock;
        FakeFleet workers;
        FleetProcesses fleet;
        HttpClient client;
        CancelCheck cancelCheck;
        EvacuationCheck evacuationCheck;
        SoakClients clients;
        std::map<std::pair<int, int>, std::unique_ptr<FaultProxy>> links; ///< By dialling host and its peer.
        std::vector<SoakWorker> workerServers;
        std::vector<std::unique_ptr<OpenCaller>> openCallers;
        std::map<TaskRef, TimePoint> orderedAt; ///< When the last start order for the task reached a worker.
        std::map<int, int> pauses; ///< Those that have not ended, by control host.
        std::set<int> stoppingHosts; ///< Told to end by SIGTERM and not started again yet.
        std::ofstream workerLog; ///< What workers were told and what they executed.
        std::vector<std::string> faults;
        std::vector<std::string> violations;
        TimePoint started;
        TimePoint lastStep;
        TimePoint lastRoundAt;
        Duration longestStandstill;
        Duration timeHeldUp;
        std::map<int, ProcessWatch> processWatches; ///< By host.
        TimePoint nextProcessCheck;
        TimePoint nextOddHeartbeat;
        TimePoint oddHeartbeatsUntil;
        int pendingRestarts = 0;
    };

    /// Only tasks that outlast a lease can run in two places once it is over.
    SoakLoad loadOf(SoakOptions const& options)
    {
        constexpr Duration intervalPerWorker = Duration::milliseconds(480);
        SoakLoad load;
        if (options.faultSet == FaultSet::Cancels)
            load.jobsPerServiceJob = 20;
        if (hasLastingJobs(options.faultSet)) {
            constexpr Duration lastingIntervalPerWorker = Duration::milliseconds(2400); // They take about two thirds of a worker each.
            load.submitInterval = lastingIntervalPerWorker / static_cast<int64_t>(options.workerCount);
            load.jobsPerServiceJob = 3;
            load.jobsPerLastingJob = 2;
            load.maxTimeToCancel = Duration::seconds(12);
        }
        if (options.faultSet == FaultSet::Restarts)
            load.jobsPerServiceJob = 8;
        if (options.faultSet == FaultSet::SilentRestarts)
            load.submitInterval = intervalPerWorker / static_cast<int64_t>(options.workerCount);
        return load;
    }

    SoakRun::SoakRun(SoakOptions const& options)
        : options(options)
        , random(options.seed)
        , workers(this->workerClock, this->random)
        , fleet(options.program)
        , client(this->loop, HttpClientLimits())
        , cancelCheck(
              this->loop, [this](JobId const& job) { return this->workers.runningCount(job); }, [this](std::string const& text) { this->violations.push_back(fmt::format("{:6.2f} s {}", (this->loop.now() - this->started).toSeconds(), text)); })
        , evacuationCheck(this->loop, this->client, this->addresses().controlAddresses, this->random, [this](std::string const& text) { this->violations.push_back(text); })
        , clients(this->loop, this->client, this->random, this->addresses(), this->cancelCheck, hasSecondQueue(options.faultSet), loadOf(options), [this](JobSpec const& job) { this->workers.registerJob(job); })
        , lastStep(this->loop.now())
    {
        this->workerLog.open(this->fleet.folderPath() + "/workers.log");
        this->workers.setStartObserver([this](TaskRef const& task) {
            this->writeWorkerLog("started " + task.text());
            this->clients.onTaskStarted(task.job, this->orderedAt[task]);
        });
        this->workers.setAcknowledgementCheck([this](ListedEnd const& end, WorkerId const& worker) {
            this->writeWorkerLog(fmt::format("{} process {} acknowledged end {} as {} of {} run {}", worker.value(), this->workers.processBornMs(worker), end.number, static_cast<int>(end.end), end.task.text(), end.attempt.value()));
            return true;
        });
    }

    SoakAddresses SoakRun::addresses() const
    {
        SoakAddresses found;
        for (int host = 1; host <= this->options.controlHostCount; host++)
            found.controlAddresses.push_back({ this->fleet.ip(host), FleetProcesses::controlPort });
        for (int host = firstEntryHost; host < firstEntryHost + this->options.entryHostCount; host++)
            found.entryAddresses.push_back({ this->fleet.ip(host), FleetProcesses::callerPort });
        return found;
    }

    /// Puts a proxy on the link from each control host to every other one.
    void SoakRun::linkPeers()
    {
        for (int from = 1; from <= this->options.controlHostCount; from++) {
            for (int to = 1; to <= this->options.controlHostCount; to++) {
                if (from == to)
                    continue;
                Address const listen { this->fleet.proxyIp(from, to), FleetProcesses::peerPort };
                this->links[{ from, to }] = std::make_unique<FaultProxy>(this->loop, this->random, listen, Address { this->fleet.ip(to), FleetProcesses::peerPort });
                this->fleet.setPeerRoute(from, to);
            }
        }
    }

    void SoakRun::startFleet()
    {
        this->linkPeers();
        for (int host = 1; host <= this->options.controlHostCount; host++)
            this->fleet.startControlHost(host, true);
        for (int host = firstEntryHost; host < firstEntryHost + this->options.entryHostCount; host++)
            this->fleet.startEntryHost(host);
        this->addWorkers();
        this->addOpenCallers();
    }

    void SoakRun::addWorkers()
    {
        constexpr int64_t milliCores = 4000;
        constexpr int64_t memoryMiB = 8000;
        constexpr size_t workersPerRack = 3;
        for (size_t i = 0; i < this->options.workerCount; i++) {
            WorkerProfile profile;
            profile.id = WorkerId("w" + std::to_string(i));
            profile.bornMs = 1;
            profile.service = ServiceId("fleet");
            profile.rack = RackId("r" + std::to_string(i / workersPerRack));
            profile.labels = { "a", profile.rack.value() };
            if (hasEvacuations(this->options.faultSet)) // Otherwise in that of the hosts.
                profile.dataCentre = dataCentreOf(i);
            profile.capacity = { milliCores, memoryMiB, 0 };
            this->workers.addWorker(profile);
            SoakWorker worker;
            worker.id = profile.id;
            worker.server = std::make_unique<WorkerServer>(this->loop, this->workers, profile.id);
            worker.server->setStartOrderObserver([this, dataCentre = profile.dataCentre.value()](TaskRef const& task) {
                this->orderedAt[task] = this->loop.now();
                this->evacuationCheck.onStartOrder(dataCentre);
            });
            this->logOrders(worker);
            uint16_t const port = worker.server->listen({ "127.0.0.1", 0 });
            worker.proxy = std::make_unique<FaultProxy>(this->loop, this->random, Address { "127.0.0.1", 0 }, Address { "127.0.0.1", port });
            worker.proxy->setFaults(this->soundWorkerLink());
            worker.foreignConnections = std::make_unique<IdleConnections>(this->loop, Address { "127.0.0.1", worker.proxy->port() });
            worker.address = "127.0.0.1:" + std::to_string(worker.proxy->port());
            this->workerServers.push_back(std::move(worker));
        }
    }

    /// Times are those of the hosts' logs, in milliseconds.
    void SoakRun::writeWorkerLog(std::string const& line)
    {
        this->workerLog << this->loop.wallMilliseconds() << ' ' << line << '\n';
    }

    void SoakRun::logOrders(SoakWorker& worker)
    {
        worker.server->setOrderObserver([this, id = worker.id](std::string const& text) { this->writeWorkerLog(fmt::format("{} process {} {}", id.value(), this->workers.processBornMs(id), text)); });
    }

    void SoakRun::addOpenCallers()
    {
        for (auto const& entry : this->addresses().entryAddresses) {
            this->openCallers.push_back(std::make_unique<OpenCaller>(
                this->loop, entry, [this] { return this->nextCall(); }, [this](std::string const& text) { this->reportOnce(text); }));
        }
    }

    /// Open connections carry cancels only where these are judged or measured.
    OpenCaller::Call SoakRun::nextCall()
    {
        bool const carriesCancels = requiresJudgedCancels(this->options.faultSet) || hasLastingJobs(this->options.faultSet);
        std::string const cancelPath = carriesCancels ? this->clients.takePendingCancel() : "";
        if (cancelPath.empty())
            return { "GET", this->clients.newestJobPath(), nullptr };
        return { "DELETE", cancelPath, [this, cancelPath](int status) { this->clients.onCancelAnswered(cancelPath, status); } };
    }

    void SoakRun::reportOnce(std::string const& text)
    {
        if (std::find(this->violations.begin(), this->violations.end(), text) == this->violations.end())
            this->violations.push_back(text);
    }

    /// Advances the fake clock of the workers to the real time in small steps.
    void SoakRun::step()
    {
        this->loop.runOnce();
        TimePoint const now = this->loop.now();
        this->noteStandstill(now);
        while (now - this->lastStep >= workerStep) {
            this->lastStep = this->lastStep + workerStep;
            this->workerClock.advance(workerStep);
            this->workers.step();
        }
        this->sendHeartbeats();
        this->sendOddHeartbeat();
        this->clients.onTick();
        for (auto const& caller : this->openCallers)
            caller->step();
        for (auto const& worker : this->workerServers)
            worker.foreignConnections->step();
        if (this->pendingRestarts)
            this->cancelCheck.noteFaultUntil(this->loop.now());
        this->cancelCheck.onTick();
        this->checkProcesses();
        usleep(1000);
    }

    void SoakRun::runFor(Duration span)
    {
        for (TimePoint const end = this->loop.now() + span; this->loop.now() < end;)
            this->step();
    }

    void SoakRun::sendHeartbeats()
    {
        std::vector<WorkerId> const up = this->workers.reachableWorkers();
        std::vector<Address> const controls = this->addresses().controlAddresses;
        for (auto& worker : this->workerServers) {
            if (this->loop.now() < worker.nextHeartbeat || std::find(up.begin(), up.end(), worker.id) == up.end())
                continue;
            worker.nextHeartbeat = this->loop.now() + heartbeatInterval;
            HttpSendOptions sending;
            sending.timeout = heartbeatTimeout;
            HttpRequest const request = WorkerServer::makeHeartbeat(this->workers.report(worker.id), worker.address);
            this->client.send(controls[this->random.below(controls.size())], request, sending, [](HttpOutcome const&) {});
        }
    }

    /// Sends an invalid heartbeat, under the id of a worker or one that no worker has.
    void SoakRun::sendOddHeartbeat()
    {
        TimePoint const now = this->loop.now();
        if (now >= this->oddHeartbeatsUntil || now < this->nextOddHeartbeat)
            return;
        this->nextOddHeartbeat = now + oddHeartbeatInterval;
        SoakWorker const& worker = this->workerServers[this->random.below(this->workerServers.size())];
        WorkerReport report = this->workers.report(worker.id);
        if (this->random.below(2))
            report.profile.id = WorkerId("x" + worker.id.value());
        HttpSendOptions sending;
        sending.timeout = heartbeatTimeout;
        std::vector<Address> const controls = this->addresses().controlAddresses;
        HttpRequest const request = WorkerServer::makeOddHeartbeat(report, worker.address, this->random);
        this->client.send(controls[this->random.below(controls.size())], request, sending, [this, body = request.body](HttpOutcome const& outcome) {
            constexpr size_t shownBytes = 400;
            if (outcome.kind == HttpOutcome::Kind::Answered && outcome.response.status / 100 == 2)
                this->violations.push_back("an invalid heartbeat was acknowledged: " + body.substr(0, shownBytes));
        });
    }

    /// Reports processes that have ended without being told to, and starts them again.
    void SoakRun::checkProcesses()
    {
        if (this->loop.now() < this->nextProcessCheck)
            return;
        this->nextProcessCheck = this->loop.now() + processCheckInterval;
        for (int host = 1; host < firstEntryHost + this->options.entryHostCount; host++) {
            this->watchProcess(host);
            if (!this->fleet.isStarted(host) || this->stoppingHosts.count(host) || !this->fleet.process(host).hasExited())
                continue;
            this->violations.push_back(fmt::format("{:6.2f} s host {} ended by itself, exit code {}", (this->loop.now() - this->started).toSeconds(), host, this->fleet.process(host).waitForExit()));
            this->startHost(host);
        }
    }

    /// A host that the disk or other load holds up is as much a fault as one that is paused.
    void SoakRun::watchProcess(int host)
    {
        if (!this->fleet.isStarted(host))
            return;
        int const pid = this->fleet.process(host).pid();
        auto const watch = this->processWatches.emplace(host, ProcessWatch(pid)).first;
        if (watch->second.pid() != pid)
            watch->second = ProcessWatch(pid);
        std::string const text = watch->second.sample();
        if (!text.empty())
            this->writeWorkerLog(fmt::format("host {} {}", host, text));
        if (!watch->second.isHeldUp())
            return;
        this->cancelCheck.noteFaultUntil(this->loop.now());
        this->timeHeldUp = this->timeHeldUp + processCheckInterval;
    }

    /// All links and workers are out of order while this process stands still, as it runs the proxies.
    void SoakRun::noteStandstill(TimePoint now)
    {
        constexpr Duration minLoggedGap = Duration::milliseconds(100);
        constexpr Duration minOutage = Duration::milliseconds(500);
        Duration const gap = now - this->lastRoundAt;
        if (this->lastRoundAt > TimePoint() && gap >= minLoggedGap)
            this->writeWorkerLog(fmt::format("the harness stood still for {} ms", gap.toMilliseconds()));
        if (this->lastRoundAt > TimePoint() && gap >= minOutage)
            this->cancelCheck.noteFaultUntil(now);
        if (this->lastRoundAt > TimePoint())
            this->longestStandstill = std::max(this->longestStandstill, gap);
        this->lastRoundAt = now;
    }

    void SoakRun::startHost(int host)
    {
        if (host < firstEntryHost)
            this->fleet.startControlHost(host, false);
        else
            this->fleet.startEntryHost(host);
    }

    void SoakRun::inject(FaultStep const& fault)
    {
        int const host = this->controlHostFor(fault);
        SoakWorker& worker = this->workerServers[fault.targetSelector % this->workerServers.size()];
        bool const isEntryFault = fault.kind == FaultKind::KillEntryHost || fault.kind == FaultKind::StopEntryHost;
        bool const isControlFault = disruptsControlHost(fault.kind) || fault.kind == FaultKind::ReloadHost;
        std::string const target = isEntryFault ? std::to_string(this->entryHostFor(fault)) : isControlFault ? std::to_string(host)
                                                                                                             : worker.id.value();
        this->faults.push_back(fmt::format("{:6.2f} s {} {} for {} ms", (this->loop.now() - this->started).toSeconds(), faultName(fault.kind), target, fault.duration.toMilliseconds()));
        if (this->options.isVerbose)
            fmt::print("{}\n", this->faults.back());
        if (!isCalm(fault.kind))
            this->cancelCheck.noteFaultUntil(this->loop.now() + fault.duration);
        this->injectHost(fault, host);
        this->injectOutage(fault, host);
        this->injectWorker(fault, worker);
        this->injectQueueChange(fault);
    }

    void SoakRun::killAndRestart(int host, Duration after, std::function<void()> prepare)
    {
        if (this->stoppingHosts.count(host) || !this->fleet.isStarted(host))
            return; // It is on its way down already.
        this->fleet.kill(host);
        this->pendingRestarts++;
        this->loop.after(after, [this, host, prepare = std::move(prepare)] {
            prepare();
            this->startHost(host);
            this->pendingRestarts--;
        });
    }

    void SoakRun::stopAndRestart(int host)
    {
        bool const isPaused = this->pauses[host]; // It would not end in time.
        if (isPaused || this->stoppingHosts.count(host) || !this->fleet.isStarted(host))
            return;
        this->fleet.process(host).sendSignal(SIGTERM);
        this->stoppingHosts.insert(host);
        this->pendingRestarts++;
        this->restartStopped(host, this->loop.now() + stopTimeout);
    }

    /// Starts a host again once it has ended after SIGTERM; a host that still runs at `bound` is killed first.
    void SoakRun::restartStopped(int host, TimePoint bound)
    {
        bool const hasEnded = this->fleet.process(host).hasExited();
        if (!hasEnded && this->loop.now() < bound) {
            this->loop.after(processCheckInterval, [this, host, bound] { this->restartStopped(host, bound); });
            return;
        }
        if (!hasEnded)
            this->violations.push_back(fmt::format("host {} did not end within {} s of SIGTERM", host, stopTimeout.toSeconds()));
        else if (int const code = this->fleet.process(host).waitForExit())
            this->violations.push_back(fmt::format("host {} ended with exit code {} after SIGTERM", host, code));
        this->fleet.kill(host);
        this->startHost(host);
        this->stoppingHosts.erase(host);
        this->pendingRestarts--;
    }

    int SoakRun::controlHostFor(FaultStep const& fault) const
    {
        int const drawn = 1 + static_cast<int>(fault.targetSelector % static_cast<uint64_t>(this->options.controlHostCount));
        switch (fault.kind) {
        case FaultKind::KillLeader:
        case FaultKind::PauseLeader:
            return this->fleet.leaderInLogs();
        case FaultKind::PauseRelay:
            return drawn == this->fleet.leaderInLogs() ? 1 + drawn % this->options.controlHostCount : drawn;
        default:
            return drawn;
        }
    }

    /// A host on its way down is left alone.
    void SoakRun::pauseHost(int host, Duration span)
    {
        if (this->stoppingHosts.count(host) || !this->fleet.isStarted(host))
            return;
        this->fleet.process(host).sendSignal(SIGSTOP);
        this->pauses[host]++;
        this->loop.after(span, [this, host] {
            if (!--this->pauses[host] && this->fleet.isStarted(host))
                this->fleet.process(host).sendSignal(SIGCONT);
        });
    }

    int SoakRun::entryHostFor(FaultStep const& fault) const
    {
        return firstEntryHost + static_cast<int>(fault.targetSelector % static_cast<uint64_t>(this->options.entryHostCount));
    }

    void SoakRun::injectOutage(FaultStep const& fault, int host)
    {
        switch (fault.kind) {
        case FaultKind::FillDisk:
            return this->fillDisk(fault, host);
        case FaultKind::LoseMajority:
            return this->loseMajority(fault, host);
        case FaultKind::KillEntryHost:
            return this->killAndRestart(this->entryHostFor(fault), fault.duration, [] {});
        case FaultKind::StopEntryHost:
            return this->stopAndRestart(this->entryHostFor(fault));
        case FaultKind::OddHeartbeats:
            this->oddHeartbeatsUntil = this->loop.now() + fault.duration;
            return;
        default:
            return;
        }
    }

    /// Lowers the process's limit on the size of files, so that writes fail as on a full disk; files that are shorter
    /// than the limit still grow.
    void SoakRun::fillDisk(FaultStep const& fault, int host)
    {
        constexpr uint64_t roomBytes = 300;
        auto const setLimit = [this, host](rlim_t bytes) {
            rlimit const limit { bytes, RLIM_INFINITY };
            int const pid = this->fleet.isStarted(host) ? this->fleet.process(host).pid() : -1;
            if (pid > 0 && prlimit(pid, RLIMIT_FSIZE, &limit, nullptr))
                throw Error(ResultCode::Internal, "cannot set the file size limit of host " + std::to_string(host));
        };
        std::string const newest = newestJournalFile(this->fleet.dataFolder(host) + "/jobs");
        bool const hasRoom = fault.targetSelector / static_cast<uint64_t>(this->options.controlHostCount) % 2 && !newest.empty();
        setLimit(hasRoom ? std::filesystem::file_size(newest) + fault.targetSelector % roomBytes : 0);
        this->loop.after(fault.duration, [setLimit] { setLimit(RLIM_INFINITY); });
    }

    void SoakRun::loseMajority(FaultStep const& fault, int spared)
    {
        bool const isPaused = fault.targetSelector / static_cast<uint64_t>(this->options.controlHostCount) % 2;
        for (int host = 1; host <= this->options.controlHostCount; host++) {
            if (host == spared || !this->fleet.isStarted(host))
                continue;
            if (!isPaused) {
                this->killAndRestart(host, fault.duration, [] {});
                continue;
            }
            this->pauseHost(host, fault.duration);
        }
        this->loop.after(cancelDelay, [this] { this->clients.cancelJobs(cancelledJobCount); });
    }

    void SoakRun::injectQueueChange(FaultStep const& fault)
    {
        if (fault.kind != FaultKind::RemoveQueue && fault.kind != FaultKind::ReplaceQueue)
            return;
        this->clients.setSecondQueue(false);
        for (Duration const delay : { cancelDelay, removedQueueDelay })
            this->loop.after(delay, [this] { this->clients.cancelSecondQueueJobs(cancelledJobCount / 2); });
        if (fault.kind == FaultKind::ReplaceQueue)
            this->loop.after(fault.duration, [this] { this->clients.setSecondQueue(true); });
    }

    void SoakRun::injectHost(FaultStep const& fault, int host)
    {
        switch (fault.kind) {
        case FaultKind::KillHost:
        case FaultKind::KillLeader:
            return this->killAndRestart(host, fault.duration, [] {});
        case FaultKind::WipeHost:
            return this->killAndRestart(host, fault.duration, [this, host] { std::filesystem::remove_all(this->fleet.dataFolder(host)); });
        case FaultKind::TearJournal:
            return this->killAndRestart(host, fault.duration, [this, host] { this->tearJournal(host); });
        case FaultKind::StopHost:
            return this->stopAndRestart(host);
        case FaultKind::PauseHost:
        case FaultKind::PauseLeader:
        case FaultKind::PauseRelay:
            return this->pauseHost(host, fault.duration);
        case FaultKind::ReloadHost:
            if (this->fleet.isStarted(host))
                this->fleet.process(host).sendSignal(SIGHUP);
            return;
        case FaultKind::ResetLinks:
            return this->forEachLink(host, [](FaultProxy& link, bool) { link.closeOpenConnections(); });
        case FaultKind::SilenceLinks:
            return this->forEachLink(host, [](FaultProxy& link, bool) { link.silenceOpenConnections(); });
        case FaultKind::CutOneWay:
        case FaultKind::SlowLinks: {
            LinkFaults slow;
            slow.delay = Duration::milliseconds(20);
            slow.jitter = Duration::milliseconds(40);
            slow.stallProbability = 0.02;
            slow.stall = Duration::milliseconds(400);
            bool const isCut = fault.kind == FaultKind::CutOneWay;
            this->forEachLink(host, [&](FaultProxy& link, bool isOutgoing) {
                LinkFaults cut;
                (isOutgoing ? cut.isCutToServer : cut.isCutToClient) = true;
                link.setFaults(isCut ? cut : slow);
            });
            this->loop.after(fault.duration, [this, host] { this->forEachLink(host, [](FaultProxy& link, bool) { link.setFaults(LinkFaults()); }); });
            return;
        }
        default:
            return;
        }
    }

    void SoakRun::forEachLink(int host, std::function<void(FaultProxy&, bool isOutgoing)> const& action)
    {
        for (auto const& [ends, link] : this->links) {
            if (ends.first == host || ends.second == host)
                action(*link, ends.first == host);
        }
    }

    /// Appends garbage to the newest journal file, as a power loss may leave it behind the synced bytes.
    void SoakRun::tearJournal(int host)
    {
        std::string const newest = newestJournalFile(this->fleet.dataFolder(host) + "/jobs");
        if (newest.empty())
            throw Error(ResultCode::Internal, "no journal file to tear in " + this->fleet.dataFolder(host));
        std::string garbage;
        for (size_t i = 0; i < garbageBytes; i++)
            garbage.push_back(static_cast<char>(this->random.below(256)));
        std::ofstream(newest, std::ios::app | std::ios::binary) << garbage;
    }

    void SoakRun::crash(SoakWorker& worker)
    {
        this->goDown(worker);
        worker.proxy->closeOpenConnections();
    }

    void SoakRun::goDown(SoakWorker& worker)
    {
        this->writeWorkerLog(fmt::format("{} process {} down", worker.id.value(), this->workers.processBornMs(worker.id)));
        this->workers.crash(worker.id);
    }

    void SoakRun::restart(SoakWorker& worker)
    {
        this->crash(worker);
        this->workers.restart(worker.id);
    }

    void SoakRun::restartAndCut(SoakWorker& worker, Duration cutAfter)
    {
        constexpr Duration downTime = Duration::milliseconds(500);
        this->crash(worker);
        this->loop.after(downTime, [this, &worker] { this->restart(worker); });
        this->loop.after(downTime + cutAfter, [this, &worker] { this->workers.setCut(worker.id, true); });
        this->loop.after(downTime + cutAfter + cutTime, [this, &worker] { this->workers.setCut(worker.id, false); });
    }

    void SoakRun::restartSilently(SoakWorker& worker, Duration downTime, bool keepsConnections)
    {
        worker.proxy->pause();
        this->goDown(worker);
        this->loop.after(downTime, [this, &worker, keepsConnections] {
            if (!keepsConnections)
                worker.proxy->closeOpenConnections();
            this->workers.restart(worker.id);
            worker.proxy->resume();
        });
    }

    void SoakRun::restartSilentlyAndCut(SoakWorker& worker, Duration cutAfter, bool keepsConnections)
    {
        this->restartSilently(worker, silentDownTime, keepsConnections);
        this->loop.after(silentDownTime + cutAfter, [this, &worker] {
            worker.proxy->pause();
            this->workers.setCut(worker.id, true);
        });
        this->loop.after(silentDownTime + cutAfter + cutTime, [this, &worker] {
            this->workers.setCut(worker.id, false);
            worker.proxy->resume();
        });
    }

    /// Without faults, but for the limit of the worker's connections.
    LinkFaults SoakRun::soundWorkerLink() const
    {
        LinkFaults sound;
        sound.maxConnections = this->options.workerConnectionLimit;
        return sound;
    }

    void SoakRun::cutOneWay(FaultStep const& fault, SoakWorker& worker)
    {
        LinkFaults cut = worker.proxy->currentFaults();
        (fault.targetSelector / this->workerServers.size() % 2 ? cut.isCutToServer : cut.isCutToClient) = true;
        worker.proxy->setFaults(cut);
        this->loop.after(fault.duration, [this, &worker] {
            worker.proxy->setFaults(this->soundWorkerLink());
        });
    }

    void SoakRun::restartMostSilently(FaultStep const& fault)
    {
        bool const isDrawnKept = fault.targetSelector / 8 % 2;
        bool const keepsConnections = this->options.connections == ConnectionsOverRestart::Drawn ? isDrawnKept : this->options.connections == ConnectionsOverRestart::Kept;
        size_t const sparedShare = fault.targetSelector / 4 % 2 ? 3 : 2; ///< One worker in so many stays up.
        this->faults.push_back(fmt::format("         all workers but one in {}, connections {}", sparedShare, keepsConnections ? "kept" : "closed"));
        for (size_t i = 0; i < this->workerServers.size(); i++) {
            if (i % sparedShare != fault.targetSelector % sparedShare)
                this->restartSilentlyAndCut(this->workerServers[i], fault.duration, keepsConnections);
        }
        this->clients.pauseSubmitting(silentDownTime + fault.duration + cutTime); // The leader waits for the lease of each start, also where it reaches nobody.
        this->submitWhileDown();
    }

    /// Lets the leader send starts to workers of which it does not know yet that they are down.
    void SoakRun::submitWhileDown()
    {
        constexpr int64_t submissions = 4;
        constexpr size_t workersPerJob = 6; ///< Their tasks find room on the workers that stay up.
        size_t const count = std::max<size_t>(this->workerServers.size() / workersPerJob, 1);
        for (int64_t i = 0; i < submissions; i++)
            this->loop.after(silentDownTime * i / submissions, [this, count] { this->clients.submitLongJobs(count); });
    }

    void SoakRun::setLateOrders(bool outliveProcesses)
    {
        FakeFleet::Faults late;
        late.lateOrderShare = injectedLateShare;
        late.ordersOutliveProcesses = outliveProcesses;
        this->workers.setFaults(late);
    }

    /// Late orders come in rounds of faults where calm periods are to be judged, else all the time.
    void SoakRun::setUsualOrders()
    {
        if (this->options.hasLateOrders && this->options.faultSet != FaultSet::CancelledRuns)
            this->setLateOrders(true);
        else
            this->workers.setFaults(FakeFleet::Faults());
    }

    void SoakRun::injectWorker(FaultStep const& fault, SoakWorker& worker)
    {
        switch (fault.kind) {
        case FaultKind::CrashWorker:
        case FaultKind::DrainWorker: {
            if (fault.kind == FaultKind::CrashWorker)
                this->crash(worker);
            else
                this->workers.setDraining(worker.id);
            this->loop.after(fault.duration, [this, &worker] { this->restart(worker); });
            return;
        }
        case FaultKind::RestartAndCutWorkers:
            for (size_t i = fault.targetSelector % 2; i < this->workerServers.size(); i += 2)
                this->restartAndCut(this->workerServers[i], fault.duration);
            return;
        case FaultKind::RestartSilently:
            return this->restartMostSilently(fault);
        case FaultKind::CutWorker: {
            this->workers.setCut(worker.id, true);
            this->loop.after(fault.duration, [this, &worker] { this->workers.setCut(worker.id, false); });
            return;
        }
        case FaultKind::CutWorkerOneWay:
            return this->cutOneWay(fault, worker);
        case FaultKind::SilenceWays:
            for (auto const& each : this->workerServers)
                each.proxy->silenceHalf();
            return;
        case FaultKind::RestartWorkerSilently:
            return this->restartSilently(worker, std::min(silentDownTime, fault.duration), fault.targetSelector / this->workerServers.size() % 2);
        case FaultKind::OddListings:
            worker.server->setOddListings(&this->random);
            this->loop.after(fault.duration, [&worker] { worker.server->setOddListings(nullptr); });
            return;
        case FaultKind::ExhaustWorkerConnections:
            worker.foreignConnections->setCount(this->options.workerConnectionLimit);
            this->loop.after(fault.duration, [&worker] { worker.foreignConnections->setCount(0); });
            return;
        case FaultKind::SilenceWorker:
            return worker.proxy->silenceOpenConnections();
        case FaultKind::LateOrders: {
            this->setLateOrders(this->options.hasLateOrders);
            this->loop.after(fault.duration, [this] { this->setUsualOrders(); });
            return;
        }
        case FaultKind::CancelWave:
            return this->clients.cancelJobs(cancelledJobCount);
        case FaultKind::Evacuate:
            return this->evacuationCheck.evacuate(dataCentreOf(fault.targetSelector % this->workerServers.size()).value(), evacuationTime + fault.duration);
        case FaultKind::RaceOperators:
            return this->clients.raceConfigurations();
        default:
            return;
        }
    }

    bool SoakRun::isFinished() const
    {
        bool const isJudged = !requiresJudgedCancels(this->options.faultSet) || this->cancelCheck.isJudged();
        return !this->pendingRestarts && isJudged && this->clients.isSettled() && this->evacuationCheck.isSettled();
    }

    SoakResult SoakRun::run()
    {
        this->startFleet();
        this->runFor(Duration::seconds(2));
        this->clients.raceConfigurations();
        this->runFor(Duration::seconds(2));
        this->started = this->loop.now();
        this->setUsualOrders();
        for (auto const& fault : drawFaults(this->options.faultSet, this->options.seed, this->options.loadDuration))
            this->loop.after(fault.startOffset, [this, fault] { this->inject(fault); });
        this->runFor(this->options.loadDuration);
        this->clients.stopSubmitting();
        TimePoint const bound = this->loop.now() + this->options.maxSettleTime;
        while (this->loop.now() < bound && !this->isFinished())
            this->step();
        SoakResult result;
        this->collect(result);
        return result;
    }

    void SoakRun::collect(SoakResult& result)
    {
        result.violations = this->clients.violations();
        result.violations.insert(result.violations.end(), this->violations.begin(), this->violations.end());
        auto const expectNone = [&](unsigned count, char const* what) {
            if (count)
                result.violations.push_back(fmt::format("{} {}", count, what));
        };
        FakeFleet::Record const& record = this->workers.record();
        expectNone(record.duplicateRuns, "starts of a task that was already running");
        expectNone(record.startsAfterDone, "starts of tasks whose end as done had been acknowledged");
        expectNone(record.startsBeforeDependencies, "tasks of a preceding stage were not done at a start");
        expectNone(record.unknownJobStarts, "start orders for jobs that were never submitted");
        std::string const unsettled = this->clients.unsettledReason();
        if (!unsettled.empty())
            result.violations.push_back("not settled: " + unsettled);
        if (!this->evacuationCheck.isSettled())
            result.violations.emplace_back("an evacuation call was not acknowledged");
        if (this->options.faultSet == FaultSet::Evacuations && !this->evacuationCheck.acknowledgedCount())
            result.violations.emplace_back("no evacuation was acknowledged");
        if (!this->clients.acceptedJobs())
            result.violations.emplace_back("no job was accepted");
        result.longestStandstill = this->longestStandstill;
        result.timeHeldUp = this->timeHeldUp;
        result.cancels = this->cancelCheck.summary();
        if (requiresJudgedCancels(this->options.faultSet) && !result.cancels.lastingJudgedRuns)
            result.violations.emplace_back("no cancelled job that lasts was judged");
        result.faults = this->faults;
        result.acceptedJobs = this->clients.acceptedJobs();
        result.refusedJobs = this->clients.refusedJobs();
        result.acknowledgedVersion = this->clients.acknowledgedVersion();
        result.starts = record.starts;
        if (!result.violations.empty() || this->options.keepsAllLogs)
            this->keepLogs(result);
    }

    void SoakRun::keepLogs(SoakResult const& result)
    {
        if (this->options.logFolder.empty())
            return;
        this->workerLog.flush();
        std::filesystem::path const target = std::filesystem::path(this->options.logFolder) / ("seed-" + std::to_string(this->options.seed));
        std::filesystem::create_directories(target);
        std::filesystem::copy(this->fleet.folderPath(), target, std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
        std::ofstream found(target / "violations.log");
        for (auto const& lines : { result.faults, result.violations }) {
            for (auto const& line : lines)
                found << line << '\n';
        }
    }

} // namespace

SoakResult runSoak(SoakOptions const& options)
{
    return SoakRun(options).run();
}

} // namespace cornelpond
