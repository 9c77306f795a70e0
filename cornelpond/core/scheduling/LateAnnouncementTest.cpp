// Announcements and departures of a worker's former process that arrive after the leader has heard from the present one.

#include "testing/fakes/ConclusionWatch.h"
#include "testing/fakes/RelayedBench.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);
constexpr int64_t firstBornMs = 1000;

/// Two workers, "w0" and "w1", that announce themselves only when the test has them do so.
struct AnnouncementBench {
    explicit AnnouncementBench(uint64_t seed = 3)
        : hosts(seed)
    {
        this->bench.announceInterval = second * 3600;
        this->bench.run(second * 2);
        this->bench.addWorkers(2, 16000);
        this->bench.run(second * 20);
    }

    CallResult announce(WorkerReport const& report)
    {
        CallResult answer = CallResult::Refused;
        this->bench.leader().scheduler().workerRegistration().announce(report, [&answer](CallResult result) { answer = result; });
        this->watch.run(Duration::milliseconds(20));
        return answer;
    }

    /// Starts the worker's process again. The leader hears from it and starts tasks there, but it announces nothing.
    void restart(WorkerId const& worker)
    {
        this->bench.fleet.crash(worker);
        this->watch.run(second / 2);
        this->bench.fleet.restart(worker);
        this->watch.run(second * 2);
    }

    /// Starts the worker's process again with the given profile, whatever its start time.
    void restartAs(WorkerProfile const& profile)
    {
        this->bench.fleet.crash(profile.id);
        this->watch.run(second / 2);
        this->bench.fleet.addWorker(profile);
    }

    /// Starts tasks that fill both workers; returns the worker of `job`.
    WorkerId fill(JobSpec const& job, JobSpec const& other)
    {
        this->bench.submit(job);
        this->bench.submit(other);
        this->watch.run(second * 2);
        return workerOf(this->bench, job.id);
    }

    WorkerView const& view(WorkerId const& worker) { return this->bench.leader().scheduler().dispatcher().workers().at(worker); }
    size_t replacements() const { return this->bench.events.count(EventId::WorkerProcessReplaced); }

    RelayedBench hosts;
    JobBench& bench = this->hosts.bench;
    ConclusionWatch watch { this->bench };
};

} // namespace

TEST_CASE("a late announcement of a former process that says the same changes nothing")
{
    AnnouncementBench hosts;
    JobSpec const job = makeJob("plan", 1, 16000, second * 60);
    WorkerId const worker = hosts.fill(job, makeJob("other", 1, 16000, second * 60));
    REQUIRE(!worker.empty());
    WorkerReport const former = hosts.bench.fleet.report(worker);
    hosts.restart(worker);
    REQUIRE(hosts.bench.fleet.runningCountOn(worker) == 1);
    CHECK(hosts.announce(former) == CallResult::Done);
    hosts.watch.run(second * 2);
    CHECK(hosts.replacements() == 1);
    CHECK(hosts.view(worker).profile.bornMs == hosts.bench.fleet.processBornMs(worker));
    CHECK(hosts.watch.concludedRuns == 0);
}

TEST_CASE("a late announcement of a former process that drains does not drain the present one")
{
    AnnouncementBench hosts;
    JobSpec const job = makeServiceJob("site", 1, 16000, "web");
    JobSpec const other = makeJob("other", 1, 16000, second * 60);
    WorkerId const worker = hosts.fill(job, other);
    REQUIRE(!worker.empty());
    WorkerReport former = hosts.bench.fleet.report(worker);
    former.profile.isDraining = true;
    hosts.restart(worker);
    REQUIRE(hosts.bench.fleet.runningCountOn(worker) == 1);
    hosts.bench.cancel(other.id);
    hosts.watch.run(second);
    unsigned const starts = hosts.bench.fleet.record().starts;
    CHECK(hosts.announce(former) == CallResult::Done);
    hosts.watch.run(second * 3);
    CHECK(!hosts.view(worker).profile.isDraining);
    CHECK(hosts.replacements() == 1);
    CHECK(hosts.bench.events.count(EventId::EvictionRequested) == 0);
    CHECK(hosts.bench.fleet.record().starts == starts);
}

// The process between the two was at another address, where another worker answers now.
TEST_CASE("a late announcement of a former process at another address does not conclude what the present one runs")
{
    AnnouncementBench hosts;
    JobSpec const job = makeJob("plan", 1, 16000, second * 60);
    JobSpec const other = makeJob("other", 1, 16000, second * 60);
    WorkerId const worker = hosts.fill(job, other);
    REQUIRE(!worker.empty());
    hosts.bench.fleet.restart(worker);
    WorkerReport former = hosts.bench.fleet.report(worker);
    former.profile.address = "10.0.9.9:80";
    hosts.restart(worker);
    REQUIRE(hosts.bench.fleet.runningCountOn(worker) == 1);
    hosts.bench.cancel(other.id);
    hosts.watch.run(second);
    CHECK(hosts.announce(former) == CallResult::Done);
    hosts.watch.run(second * 8);
    CHECK(hosts.bench.fleet.record().duplicateRuns == 0);
    CHECK(hosts.watch.concludedRuns == 0);
    CHECK(hosts.bench.fleet.runningCountOn(worker) == 1);
}

TEST_CASE("a report that gives the present process an address where another worker answers starts no task twice")
{
    AnnouncementBench hosts;
    JobSpec const job = makeJob("plan", 1, 16000, second * 60);
    JobSpec const other = makeJob("other", 1, 16000, second * 60);
    WorkerId const worker = hosts.fill(job, other);
    REQUIRE(!worker.empty());
    hosts.bench.cancel(other.id);
    hosts.watch.run(second);
    WorkerReport wrong = hosts.bench.fleet.report(worker);
    wrong.profile.address = "10.0.9.9:80";
    hosts.announce(wrong);
    hosts.watch.run(second * 10);
    CHECK(hosts.bench.fleet.record().duplicateRuns == 0);
    CHECK(hosts.watch.concludedRuns == 0);
    CHECK(hosts.bench.fleet.runningCount(job.id) == 1);
}

TEST_CASE("an announcement of a former process that commits after the present one has listed changes nothing")
{
    AnnouncementBench hosts;
    JobSpec const job = makeJob("plan", 1, 16000, second * 60);
    WorkerId const worker = hosts.fill(job, makeJob("other", 1, 16000, second * 60));
    REQUIRE(!worker.empty());
    hosts.bench.fleet.restart(worker);
    WorkerReport former = hosts.bench.fleet.report(worker);
    former.profile.address = "10.0.9.9:80";
    hosts.bench.fleet.crash(worker);
    hosts.watch.run(Duration::milliseconds(100));
    hosts.bench.isCommitting = false;
    hosts.announce(former);
    hosts.bench.fleet.restart(worker);
    hosts.watch.run(second);
    hosts.bench.isCommitting = true;
    hosts.watch.run(second);
    CHECK(hosts.replacements() == 1);
    CHECK(hosts.view(worker).profile.bornMs == hosts.bench.fleet.processBornMs(worker));
    CHECK(hosts.bench.fleet.runningCountOn(worker) == 1);
}

// The new leader has heard neither from the present process nor, by the roster, of the one at the other address.
TEST_CASE("a late announcement of a former process at another address does not conclude what the present one runs under a new leader")
{
    AnnouncementBench hosts;
    JobSpec const job = makeJob("plan", 1, 16000, second * 60);
    JobSpec const other = makeJob("other", 1, 16000, second * 60);
    WorkerId const worker = hosts.fill(job, other);
    REQUIRE(!worker.empty());
    hosts.bench.fleet.restart(worker);
    WorkerReport former = hosts.bench.fleet.report(worker);
    former.profile.address = "10.0.9.9:80";
    hosts.restart(worker);
    REQUIRE(hosts.bench.fleet.runningCountOn(worker) == 1);
    hosts.bench.crashLeader();
    hosts.watch.run(second / 2);
    hosts.bench.group.elect(1);
    hosts.bench.leader().scheduler().workerRegistration().announce(former, [](CallResult) {});
    hosts.bench.cancel(other.id);
    hosts.watch.run(second / 2);
    hosts.announce(hosts.bench.fleet.report(worker));
    hosts.watch.run(second * 8);
    CHECK(hosts.bench.fleet.record().duplicateRuns == 0);
    CHECK(hosts.watch.concludedRuns == 0);
}

TEST_CASE("a late departure of a former process neither drains nor removes the present one")
{
    AnnouncementBench hosts;
    JobSpec const job = makeServiceJob("site", 1, 16000, "web");
    JobSpec const other = makeJob("other", 1, 16000, second * 60);
    WorkerId const worker = hosts.fill(job, other);
    REQUIRE(!worker.empty());
    WorkerDeparture const former { worker, hosts.bench.fleet.processBornMs(worker) };
    hosts.restart(worker);
    REQUIRE(hosts.bench.fleet.runningCountOn(worker) == 1);
    hosts.bench.cancel(other.id);
    hosts.watch.run(second);
    bool const hasTasks = GENERATE(true, false);
    if (!hasTasks) {
        hosts.bench.cancel(job.id);
        hosts.watch.run(second);
    }
    unsigned const starts = hosts.bench.fleet.record().starts;
    hosts.bench.leader().scheduler().workerRegistration().deregister(former, [](CallResult) {});
    hosts.watch.run(second * 3);
    CHECK(hosts.bench.leader().scheduler().dispatcher().workers().count(worker) == 1);
    CHECK(!hosts.view(worker).profile.isDraining);
    CHECK(hosts.replacements() == 1);
    CHECK(hosts.bench.fleet.record().starts == starts);
}

TEST_CASE("a process whose sequence begins anew is heard, before and after a late announcement of the former one")
{
    AnnouncementBench hosts;
    WorkerId const worker("w0");
    for (int i = 0; i < 20; i++)
        REQUIRE(hosts.announce(hosts.bench.fleet.report(worker)) == CallResult::Done);
    WorkerReport const former = hosts.bench.fleet.report(worker);
    hosts.restart(worker);
    bool const isFormerFirst = GENERATE(true, false);
    if (isFormerFirst)
        hosts.announce(former);
    CHECK(hosts.announce(hosts.bench.fleet.report(worker)) == CallResult::Done);
    if (!isFormerFirst)
        hosts.announce(former);
    CHECK(hosts.view(worker).profile.bornMs == hosts.bench.fleet.processBornMs(worker));
    hosts.bench.fleet.setDraining(worker);
    CHECK(hosts.announce(hosts.bench.fleet.report(worker)) == CallResult::Done);
    CHECK(hosts.view(worker).profile.isDraining);
    CHECK(hosts.replacements() == 1);
}

namespace {

/// The worker's profile as it was first announced, with a start time that leaves room for earlier ones.
WorkerProfile announceLaterBorn(AnnouncementBench& hosts, WorkerId const& worker)
{
    WorkerProfile profile = hosts.bench.fleet.report(worker).profile;
    profile.bornMs = firstBornMs;
    hosts.restartAs(profile);
    hosts.announce(hosts.bench.fleet.report(worker));
    hosts.watch.run(second * 2);
    return profile;
}

} // namespace

TEST_CASE("a process whose start time is earlier than its predecessor's gets tasks")
{
    AnnouncementBench hosts;
    WorkerId const worker("w0");
    WorkerProfile profile = announceLaterBorn(hosts, worker);
    profile.bornMs = firstBornMs - 500;
    bool const isMoved = GENERATE(false, true);
    if (isMoved)
        profile.address = "10.0.9.9:80";
    hosts.restartAs(profile);
    hosts.bench.announceInterval = second * 3 / 2;
    hosts.announce(hosts.bench.fleet.report(worker));
    hosts.bench.submit(makeJob("a", 1, 16000, second * 60));
    hosts.bench.submit(makeJob("b", 1, 16000, second * 60));
    Duration const toStart = hosts.watch.runUntil(
        [&] {
            hosts.announce(hosts.bench.fleet.report(worker));
            return hosts.bench.fleet.runningCountOn(worker) == 1;
        },
        second * 30);
    INFO("first start after " << toStart.toMilliseconds() << " ms");
    CHECK(toStart < second * 3);
    CHECK(hosts.bench.fleet.record().duplicateRuns == 0);
}

TEST_CASE("a process whose start time is earlier than its predecessor's is removed when it is gone")
{
    AnnouncementBench hosts;
    WorkerId const worker("w0");
    WorkerProfile profile = announceLaterBorn(hosts, worker);
    profile.bornMs = firstBornMs - 500;
    hosts.restartAs(profile);
    hosts.watch.run(second * 2);
    REQUIRE(hosts.view(worker).profile.bornMs == profile.bornMs);
    hosts.bench.fleet.crash(worker);
    hosts.watch.run(second * 20);
    CHECK(hosts.bench.leader().scheduler().dispatcher().workers().count(worker) == 0);
}

TEST_CASE("a process whose start time is earlier than its predecessor's gets no task once its draining is acknowledged")
{
    AnnouncementBench hosts;
    WorkerId const worker("w0");
    WorkerProfile profile = announceLaterBorn(hosts, worker);
    profile.bornMs = firstBornMs - 500;
    hosts.restartAs(profile);
    hosts.watch.run(second * 2);
    hosts.bench.fleet.setDraining(worker);
    REQUIRE(hosts.announce(hosts.bench.fleet.report(worker)) == CallResult::Done);
    hosts.bench.submit(makeJob("a", 1, 16000, second * 60));
    hosts.bench.submit(makeJob("b", 1, 16000, second * 60));
    hosts.watch.run(second * 3);
    CHECK(hosts.bench.fleet.record().startsWhileDraining == 0);
}

TEST_CASE("a process whose start time is earlier than its predecessor's drains while it runs a task, and its successor gets tasks")
{
    AnnouncementBench hosts;
    WorkerId const worker("w0");
    WorkerProfile profile = announceLaterBorn(hosts, worker);
    JobSpec const job = makeJob("plan", 1, 16000, second * 30);
    hosts.fill(job, makeJob("other", 1, 16000, second * 30));
    profile.bornMs = firstBornMs - 500;
    hosts.restartAs(profile);
    hosts.watch.run(second * 2);
    REQUIRE(hosts.bench.fleet.runningCountOn(worker) == 1);
    hosts.bench.fleet.setDraining(worker);
    REQUIRE(hosts.announce(hosts.bench.fleet.report(worker)) == CallResult::Done);
    unsigned const concluded = hosts.watch.concluded;
    hosts.watch.run(second * 2);
    CHECK(hosts.view(worker).profile.isDraining);
    CHECK(hosts.bench.fleet.runningCountOn(worker) == 1);
    CHECK(hosts.watch.concluded == concluded);
    profile.bornMs = firstBornMs - 300;
    hosts.restartAs(profile);
    for (int i = 0; i < 10; i++) {
        hosts.announce(hosts.bench.fleet.report(worker));
        hosts.watch.run(second / 2);
    }
    CHECK(!hosts.view(worker).profile.isDraining);
    CHECK(hosts.bench.fleet.runningCountOn(worker) == 1);
    CHECK(hosts.bench.fleet.record().duplicateRuns == 0);
}

TEST_CASE("no sequence of restarts, cuts, late announcements and departures runs a task in two places or concludes a run")
{
    rc::prop("", [] {
        auto const seed = *rc::gen::arbitrary<uint32_t>();
        constexpr size_t workerCount = 4;
        constexpr size_t hostCount = 3;
        RelayedBench hosts(seed, hostCount);
        JobBench& bench = hosts.bench;
        ConclusionWatch watch(bench);
        SeededRandom random(seed + 1U);
        bench.announceInterval = second * 4;
        auto const draw = [&](uint64_t bound) { return Duration::milliseconds(static_cast<int64_t>(random.below(bound))); };
        bench.addWorkers(workerCount, 8000);
        watch.run(second * 5);
        std::vector<WorkerReport> late;
        auto const deliverLate = [&] {
            if (late.empty() || !bench.group.hasCurrentLeader())
                return;
            WorkerReport const& report = late[random.below(late.size())];
            if (random.below(3))
                bench.leader().scheduler().workerRegistration().announce(report, [](CallResult) {});
            else
                bench.leader().scheduler().workerRegistration().deregister({ report.profile.id, report.profile.bornMs }, [](CallResult) {});
        };
        for (int round = 0; round < 12; round++) {
            for (size_t i = 0; i < 4; i++)
                bench.submit(makeJob("j" + std::to_string(round) + "-" + std::to_string(i), 1, 2000, second * 10));
            WorkerId const worker("w" + std::to_string(random.below(workerCount)));
            WorkerReport report = bench.fleet.report(worker);
            report.profile.isDraining = random.below(2);
            if (random.below(2))
                report.profile.address = "10.0.9." + std::to_string(round) + ":80";
            bench.fleet.crash(worker);
            watch.run(draw(1000));
            bench.fleet.restart(worker);
            // Announced by a process that has ended since, and that the leader may never have heard of.
            report.profile.bornMs = bench.fleet.processBornMs(worker);
            late.push_back(report);
            bench.fleet.crash(worker);
            bench.fleet.restart(worker);
            if (!random.below(4))
                bench.elect(random.below(hostCount));
            watch.run(draw(3000));
            for (int i = 0; i < 4; i++) {
                watch.run(draw(1000));
                deliverLate();
            }
            bool const isCut = !random.below(3);
            bench.fleet.setCut(worker, isCut);
            watch.run(isCut ? second * 6 : draw(2000));
            bench.fleet.setCut(worker, false);
        }
        RC_ASSERT(bench.fleet.record().duplicateRuns == 0U);
        RC_ASSERT(watch.concludedRuns == 0U);
    });
}
