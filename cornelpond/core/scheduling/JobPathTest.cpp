// How many commits a job needs, one after another, until its stages start; and what becomes of starts that were proposed behind a
// submission or an end that is lost, cancelled or decided under another leader.

#include "testing/fakes/ForwardingOrders.h"
#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);
constexpr Duration tick = Duration::milliseconds(10);
constexpr uint32_t tasksPerStage = 4;

/// A job of two stages, the second of which waits for the first.
JobSpec makeTwoStageJob(std::string const& id)
{
    JobSpec job = makeJob(id, tasksPerStage, 1000, Duration::milliseconds(300));
    job.stages.push_back(job.stages.front());
    job.stages.back().dependsOn = { 0 };
    return job;
}

/// Counts the renewals that acknowledge ends.
class AcknowledgingOrders final : public ForwardingOrders {
public:
    AcknowledgingOrders(WorkerOrders& fleet, unsigned& count)
        : ForwardingOrders(fleet)
        , count(count)
    {
    }

    void renew(WorkerTarget const& worker, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override
    {
        this->count += order.acknowledgedEnds > 0;
        this->fleet.renew(worker, order, std::move(done));
    }

private:
    unsigned& count;
};

/// A bench with idle workers, whose proposals await `commit`.
struct PathBench {
    explicit PathBench(uint64_t seed, JobBench::OrdersFactory const& makeOrders = JobBench::OrdersFactory())
        : bench(seed, 2, makeOrders)
    {
        this->bench.addWorkers(4, 16000);
        this->bench.run(second); // A new leader starts nothing at first.
        this->bench.isCommitting = false;
    }

    /// Commits all that is proposed, and lets orders reach the workers before the next tick.
    void commit()
    {
        this->bench.group.commit(SIZE_MAX);
        this->bench.clock.advance(tick);
    }

    /// Runs the job's first stage until its ends are proposed and not committed.
    void runFirstStage(JobSpec const& job)
    {
        this->bench.isCommitting = true;
        this->bench.submit(job);
        this->bench.run(tick * 10);
        this->bench.isCommitting = false;
        this->bench.run(second);
        REQUIRE(this->starts() == tasksPerStage);
    }

    unsigned starts() const { return this->bench.fleet.record().starts; }

    bool finish()
    {
        this->bench.isCommitting = true;
        return this->bench.runUntilIdle(second * 60);
    }

    void checkRules() const
    {
        FakeFleet::Record const& record = this->bench.fleet.record();
        CHECK(record.duplicateRuns == 0);
        CHECK(record.startsAfterDone == 0);
        CHECK(record.startsBeforeDependencies == 0);
        CHECK(record.unknownJobStarts == 0);
        CHECK(record.overCapacityStarts == 0);
    }

    JobBench bench;
};

} // namespace

TEST_CASE("a job's first tasks start with the commit of its submission, and neither they nor the answer leave before it")
{
    PathBench path(1);
    path.bench.submit(makeTwoStageJob("check"));
    path.bench.run(tick * 2);
    CHECK(path.bench.submitResults.empty());
    CHECK(path.bench.find(JobId("check")) == nullptr);
    CHECK(path.starts() == 0);
    path.commit();
    REQUIRE(path.bench.submitResults.size() == 1);
    CHECK(path.bench.submitResults.front().result == CallResult::Done);
    CHECK(path.starts() == tasksPerStage);
    CHECK(path.finish());
    CHECK(path.starts() == 2 * tasksPerStage);
    path.checkRules();
}

TEST_CASE("the next stage starts with the commit of the last end before it")
{
    PathBench path(2);
    path.runFirstStage(makeTwoStageJob("check"));
    path.commit();
    CHECK(path.starts() == 2 * tasksPerStage);
    CHECK(path.finish());
    path.checkRules();
}

TEST_CASE("the renewal that acknowledges ends leaves with their commit, not with the next tick")
{
    unsigned acknowledging = 0;
    PathBench path(8, [&](FakeClock&, WorkerOrders& fleet) { return std::make_unique<AcknowledgingOrders>(fleet, acknowledging); });
    path.runFirstStage(makeTwoStageJob("check"));
    CHECK(acknowledging == 0);
    path.commit();
    CHECK(acknowledging > 0);
}

TEST_CASE("the steps of both stages are logged, with the decision before the commit")
{
    PathBench path(3);
    path.runFirstStage(makeTwoStageJob("check"));
    path.commit();
    REQUIRE(path.finish());
    CHECK(path.bench.events.count(EventId::JobSteps) == 2);
    StepTimes const& steps = path.bench.leader().scheduler().stepTimes();
    CHECK(steps.histogram(JobStep::SubmitCommitted).count() == 1);
    CHECK(steps.histogram(JobStep::EndCommitted).count() == 1);
    CHECK(steps.histogram(JobStep::StartDecided).total() == Duration());
    CHECK(steps.openCount() == 0);
}

TEST_CASE("starts behind a submission that is lost with the leadership are not carried out, and the job can be submitted again")
{
    unsigned lost = 0;
    for (uint64_t seed = 1; seed <= 20; seed++) {
        PathBench path(seed);
        JobSpec const job = makeTwoStageJob("check");
        path.bench.submit(job);
        path.bench.run(tick * 2);
        path.bench.elect(1);
        path.bench.run(second);
        bool const isLost = !path.bench.find(job.id);
        lost += isLost;
        if (isLost)
            CHECK(path.starts() == 0);
        path.bench.submit(job);
        REQUIRE(path.finish());
        CHECK(path.bench.state(job.id) == JobState::Completed);
        CHECK(path.starts() == 2 * tasksPerStage);
        path.checkRules();
    }
    CHECK(lost > 0);
    CHECK(lost < 20);
}

TEST_CASE("starts behind a last end that is lost with the leadership are placed again after it")
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        PathBench path(seed);
        JobSpec const job = makeTwoStageJob("check");
        path.bench.isCommitting = true;
        path.bench.submit(job);
        path.bench.run(tick * 10);
        path.bench.isCommitting = false;
        path.bench.group.setLeadershipConfirmed(false); // The ends are proposed without the starts.
        path.bench.fleet.step();
        path.bench.run(second);
        path.bench.group.setLeadershipConfirmed(true);
        path.bench.run(tick * 2);
        path.bench.elect(1);
        path.bench.isCommitting = true;
        path.bench.run(second);
        REQUIRE(path.finish());
        CHECK(path.bench.state(job.id) == JobState::Completed);
        CHECK(path.starts() == 2 * tasksPerStage);
        path.checkRules();
    }
}

TEST_CASE("a job that is cancelled while its submission is being committed starts nothing more")
{
    PathBench path(4);
    JobSpec const job = makeTwoStageJob("check");
    path.bench.submit(job);
    path.bench.cancel(job.id);
    path.bench.run(tick * 2);
    path.commit();
    CHECK(path.bench.state(job.id) == JobState::Cancelled);
    CHECK(path.finish());
    CHECK(path.starts() == 0);
}

TEST_CASE("tasks of which the starts were proposed before the job's cancel are stopped")
{
    PathBench path(5);
    JobSpec const job = makeTwoStageJob("check");
    path.bench.submit(job);
    path.bench.run(tick * 2);
    path.bench.cancel(job.id);
    path.commit();
    CHECK(path.bench.state(job.id) == JobState::Cancelled);
    CHECK(path.finish());
    path.bench.run(second);
    CHECK(path.bench.fleet.runningCount(job.id) == 0);
    path.checkRules();
}

TEST_CASE("starts behind a last end that follows the job's cancel do not take effect")
{
    PathBench path(6);
    JobSpec const job = makeTwoStageJob("check");
    path.bench.isCommitting = true;
    path.bench.submit(job);
    path.bench.run(tick * 10);
    path.bench.isCommitting = false;
    path.bench.group.setLeadershipConfirmed(false); // Neither stops nor starts leave.
    path.bench.run(second);
    path.bench.group.setLeadershipConfirmed(true);
    path.bench.cancel(job.id);
    path.bench.run(tick * 2);
    path.commit();
    CHECK(path.starts() == tasksPerStage);
    CHECK(path.finish());
    CHECK(path.starts() == tasksPerStage);
    for (auto const& [id, worker] : path.bench.leader().scheduler().dispatcher().workers())
        CHECK(worker.placed.empty());
}

TEST_CASE("what happens between two ticks is decided and proposed at the end of the turn, once for all of it")
{
    PathBench path(7);
    unsigned calls = 0;
    path.bench.leader().setWorkCallback([&] { calls++; });
    for (int i = 0; i < 5; i++)
        path.bench.submit(makeTwoStageJob("check" + std::to_string(i)));
    CHECK(calls == 1);
    path.bench.leader().onWork();
    path.commit();
    CHECK(path.starts() == 5 * tasksPerStage);
    CHECK(calls == 2);
}

TEST_CASE("in random sequences of submissions, commits, cancels and changes of leader no rule is broken and every job ends")
{
    rc::prop("jobs of two stages", [](uint64_t seed) {
        PathBench path(seed);
        JobBench& bench = path.bench;
        auto const steps = *rc::gen::container<std::vector<unsigned>>(40, rc::gen::inRange(0U, 8U));
        unsigned jobs = 0;
        std::vector<JobSpec> submitted;
        for (unsigned const step : steps) {
            if (step <= 1) {
                submitted.push_back(makeTwoStageJob("check" + std::to_string(jobs++)));
                bench.submit(submitted.back());
            } else if (step == 2 && !submitted.empty()) {
                bench.cancel(submitted[seed % submitted.size()].id);
            } else if (step == 3) {
                bench.elect(1 - bench.group.leader());
            } else if (step == 4) {
                bench.group.commit(1);
            } else if (step == 5) {
                path.commit();
            } else {
                bench.run(step == 6 ? tick : tick * 35);
            }
        }
        RC_ASSERT(path.finish());
        bench.run(second * 2);
        FakeFleet::Record const& record = bench.fleet.record();
        RC_ASSERT(record.duplicateRuns + record.startsAfterDone + record.startsBeforeDependencies + record.unknownJobStarts + record.overCapacityStarts == 0U);
        for (auto const& job : submitted)
            RC_ASSERT(bench.fleet.runningCount(job.id) == 0U);
        RC_ASSERT(bench.leader().scheduler().stepTimes().openCount() == 0U);
    });
}

TEST_CASE("a job whose queue was removed while it was expected has the same record as on hosts that did not expect it")
{
    QueueConfig config;
    config.version = ConfigVersion(1);
    config.services.push_back({ ServiceId("fleet"), true, false });
    QueueSpec queue;
    queue.name = QueueId("plans");
    queue.service = ServiceId("fleet");
    queue.priority = 2;
    queue.maxAttempts = 3;
    config.queues = { queue };
    QueueTable before;
    before.replace(config);
    config.version = ConfigVersion(2);
    config.queues.clear();
    QueueTable after = before;
    after.replace(config);
    SubmitJob const command { makeJob("plan", 2, 1000, Duration::seconds(1)), queue.name, 1 };
    JobTable leader;
    leader.expect(command, before);
    JobTable follower;
    leader.apply(JobCommand(command), after);
    follower.apply(JobCommand(command), after);
    CHECK(leader.takeSnapshot() == follower.takeSnapshot());
}
