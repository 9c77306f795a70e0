#include "cornelpond/core/jobs/JobTable.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace cornelpond;

namespace {

constexpr uint32_t maxAttempts = 3;

StageSpec stageOf(uint32_t tasks, std::vector<uint32_t> dependsOn = {})
{
    StageSpec stage;
    stage.taskCount = tasks;
    stage.dependsOn = std::move(dependsOn);
    return stage;
}

StageSpec copyableStage(uint32_t tasks)
{
    StageSpec stage = stageOf(tasks);
    stage.allowsSpeculativeCopies = true;
    return stage;
}

StageSpec gangStage(uint32_t tasks)
{
    StageSpec stage = stageOf(tasks);
    stage.isGang = true;
    return stage;
}

/// A table with one job.
class OneJob {
public:
    /// All `occurrences` are opened at once; 0: the job has no schedule.
    OneJob(std::vector<StageSpec> stages, uint32_t occurrences)
    {
        QueueConfig config;
        config.version = ConfigVersion(1);
        QueueSpec queue;
        queue.name = QueueId("plans");
        queue.maxAttempts = maxAttempts;
        config.queues = { queue };
        this->queues.replace(config);
        JobSpec spec;
        spec.id = this->id;
        spec.stages = std::move(stages);
        spec.schedule.occurrences = occurrences;
        this->jobs.apply(JobCommand(SubmitJob { spec, queue.name, 1 }), this->queues);
        for (uint32_t i = 0; i < occurrences; i++)
            this->apply({ OpenOccurrence { this->id, i } });
    }

    void apply(std::vector<TaskUpdate> updates) { this->jobs.apply(JobCommand(UpdateTasks { std::move(updates), 2 }), this->queues); }

    CommitStart start(uint32_t occurrence, uint32_t stage, uint32_t index, uint64_t attempt) const
    {
        return { { this->id, occurrence, stage, index }, AttemptNumber(attempt), WorkerId("w" + std::to_string(attempt)) };
    }

    static CommitEnd end(CommitStart const& start, AttemptEnd how) { return { start.task, start.attempt, start.worker, how, std::string() }; }

    /// Starts and ends all tasks of the stage in their first attempt.
    void finish(uint32_t occurrence, uint32_t stage)
    {
        std::vector<TaskUpdate> ends;
        for (uint32_t index = 0; index < this->job().spec.stages[stage].taskCount; index++) {
            CommitStart const started = this->start(occurrence, stage, index, 1);
            this->apply({ started });
            ends.emplace_back(end(started, AttemptEnd::Done));
        }
        this->apply(ends);
    }

    JobRecord const& job() const { return *this->jobs.find(this->id); }
    JobState state() const { return this->job().state; }

    JobId const id { "rounds" };
    QueueTable queues;
    JobTable jobs;
};

} // namespace

// Failure: a second attempt that ended as done counted its occurrence again, so that the job was completed before its last occurrence.
TEST_CASE("an occurrence counts once though two attempts of its task end as done")
{
    OneJob each({ copyableStage(1) }, 2);
    CommitStart const first = each.start(0, 0, 0, 1);
    CommitStart const copy = each.start(0, 0, 0, 2);
    each.apply({ first, copy });
    bool const endsInOneCommand = GENERATE(true, false);
    if (endsInOneCommand) {
        each.apply({ OneJob::end(first, AttemptEnd::Done), OneJob::end(copy, AttemptEnd::Done) });
    } else {
        each.apply({ OneJob::end(first, AttemptEnd::Lost) });
        for (CommitStart const& late : { first, first, copy })
            each.apply({ OneJob::end(late, AttemptEnd::Done) });
    }
    CHECK(each.state() == JobState::Active);
    each.finish(1, 0);
    CHECK(each.state() == JobState::Completed);
}

// Failure: each member of a gang counted the occurrence, so that the job was completed after the first occurrences.
TEST_CASE("an occurrence counts once though each member of its gang ends as done")
{
    OneJob each({ gangStage(4) }, 3);
    for (uint32_t const occurrence : { 1, 0, 2 }) {
        CHECK(each.state() == JobState::Active);
        each.finish(occurrence, 0);
    }
    CHECK(each.state() == JobState::Completed);
}

// Failure: as above.
TEST_CASE("a gang counts once where another stage waits for it or ends before it")
{
    bool const waits = GENERATE(true, false);
    OneJob each({ gangStage(4), stageOf(2, waits ? std::vector<uint32_t> { 0 } : std::vector<uint32_t>()) }, 2);
    for (uint32_t const occurrence : { 0, 1 }) {
        each.finish(occurrence, waits ? 0 : 1);
        CHECK(each.state() == JobState::Active);
        each.finish(occurrence, waits ? 1 : 0);
    }
    CHECK(each.state() == JobState::Completed);
}

// Failure: a failure that came after the end as done counted, and the job was shown as failed.
TEST_CASE("a failure of another attempt or of another member of a gang does not count once the task is done")
{
    OneJob copyable({ copyableStage(1) }, 2);
    for (uint64_t attempt = 1; attempt < maxAttempts; attempt++)
        copyable.apply({ copyable.start(0, 0, 0, attempt), OneJob::end(copyable.start(0, 0, 0, attempt), AttemptEnd::Failed) });
    CommitStart const first = copyable.start(0, 0, 0, maxAttempts);
    CommitStart const copy = copyable.start(0, 0, 0, maxAttempts + 1);
    copyable.apply({ first, copy, OneJob::end(first, AttemptEnd::Done), OneJob::end(copy, AttemptEnd::Failed) });
    CHECK(copyable.state() == JobState::Active);
    copyable.finish(1, 0);
    CHECK(copyable.state() == JobState::Completed);

    OneJob gang({ gangStage(1 + maxAttempts) }, 2);
    for (uint32_t index = 0; index <= maxAttempts; index++)
        gang.apply({ gang.start(0, 0, index, 1) });
    for (uint32_t index = 0; index <= maxAttempts; index++)
        gang.apply({ OneJob::end(gang.start(0, 0, index, 1), index ? AttemptEnd::Failed : AttemptEnd::Done) });
    CHECK(gang.state() == JobState::Active);
    gang.finish(1, 0);
    CHECK(gang.state() == JobState::Completed);
}

// Failure: an earlier version counted an occurrence twice and left the count in a snapshot, so that the last one would never run.
TEST_CASE("a snapshot that counts too many occurrences as done does not end the job early")
{
    OneJob each({ gangStage(4) }, 3);
    each.finish(0, 0);
    std::string snapshot = each.jobs.takeSnapshot();
    std::string const counted("\3\1\0\2", 4); // Occurrences opened and done, live attempts, records.
    size_t const at = snapshot.find(counted);
    REQUIRE(at != std::string::npos);
    REQUIRE(snapshot.find(counted, at + 1) == std::string::npos);
    snapshot[at + 1] = 2;
    each.jobs.restore(snapshot);
    each.finish(1, 0);
    REQUIRE(each.state() == JobState::Active);
    each.apply({ RemoveJob { each.id } }); // By a leader of the earlier version, for which the job has ended.
    each.finish(2, 0);
    CHECK(each.state() == JobState::Completed);
}

// Failure: each member that failed counted, so that a gang of four was shown as failed after one of three attempts (review/9).
TEST_CASE("members of a gang that fail in one attempt are one failure, also across a snapshot")
{
    OneJob each({ gangStage(4) }, 0);
    for (uint64_t attempt = 1; attempt <= maxAttempts; attempt++) {
        CHECK(each.state() == JobState::Active);
        for (uint32_t index = 0; index < 4; index++)
            each.apply({ each.start(0, 0, index, attempt) });
        for (uint32_t index = 0; index < 4; index++) {
            each.apply({ OneJob::end(each.start(0, 0, index, attempt), AttemptEnd::Failed) });
            each.jobs.restore(each.jobs.takeSnapshot());
        }
    }
    CHECK(each.state() == JobState::Failed);
}

namespace {

/// What the job's ends add up to, each counted for its task, in the order in which they are applied.
class ExpectedOutcome {
public:
    struct Task {
        std::set<uint64_t> live;
        uint64_t lastAttempt = 0;
        bool isDone = false;
    };

    explicit ExpectedOutcome(std::vector<StageSpec> const& stages, uint32_t occurrences)
        : stages(stages)
        , tasks(occurrences)
    {
        for (auto& occurrence : this->tasks) {
            for (auto const& stage : stages)
                occurrence.emplace_back(stage.taskCount);
        }
    }

    void end(CommitEnd const& end)
    {
        bool const isGang = this->stages[end.task.stage].isGang;
        std::vector<Task>& stage = this->tasks[end.task.occurrence][end.task.stage];
        Task& task = stage[end.task.index];
        bool const wasLive = task.live.erase(end.attempt.value());
        if (this->state != JobState::Active || task.isDone)
            return;
        if (end.end == AttemptEnd::Done && (wasLive || !isGang)) {
            task.isDone = true;
            for (Task& each : stage)
                each.isDone |= isGang;
        } else if (end.end == AttemptEnd::Failed && wasLive) {
            this->failedAttempts[{ end.task.occurrence, end.task.stage, isGang ? 0 : end.task.index }].insert(end.attempt.value());
        }
        bool const areAllDone = std::all_of(this->tasks.begin(), this->tasks.end(), [](auto const& occurrence) {
            return std::all_of(occurrence.begin(), occurrence.end(), [](auto const& each) { return std::all_of(each.begin(), each.end(), [](Task const& one) { return one.isDone; }); });
        });
        bool const hasFailed = std::any_of(this->failedAttempts.begin(), this->failedAttempts.end(), [](auto const& each) { return each.second.size() >= maxAttempts; });
        this->state = areAllDone ? JobState::Completed : hasFailed ? JobState::Failed
                                                                   : JobState::Active;
    }

    std::vector<StageSpec> const& stages;
    std::vector<std::vector<std::vector<Task>>> tasks; ///< By occurrence, stage and index.
    std::map<std::array<uint32_t, 3>, std::set<uint64_t>> failedAttempts;
    JobState state = JobState::Active;
};

} // namespace

TEST_CASE("a job ends as its tasks do, whichever of their attempts end, how often and in which order")
{
    rc::prop("", [](uint8_t shape) {
        StageSpec const pair = copyableStage(2);
        std::vector<std::vector<StageSpec>> const shapes { { copyableStage(1) }, { gangStage(3) }, { gangStage(2), pair }, { pair, stageOf(1) } };
        std::vector<StageSpec> const& stages = shapes[shape % shapes.size()];
        constexpr uint32_t occurrences = 2;
        OneJob each(stages, occurrences);
        ExpectedOutcome expected(stages, occurrences);
        std::vector<CommitStart> started;
        auto const start = [&](uint32_t occurrence, uint32_t stage, uint32_t index) {
            auto& task = expected.tasks[occurrence][stage][index];
            CommitStart const next = each.start(occurrence, stage, index, ++task.lastAttempt);
            task.live.insert(task.lastAttempt);
            started.push_back(next);
            each.apply({ next });
        };
        for (int step = 0; step < 120 && expected.state == JobState::Active; step++) {
            auto const occurrence = *rc::gen::inRange(0U, occurrences);
            auto const stage = *rc::gen::inRange(size_t(0), stages.size());
            auto const& tasks = expected.tasks[occurrence][stage];
            auto const index = *rc::gen::inRange(size_t(0), tasks.size());
            bool const isGangIdle = std::all_of(tasks.begin(), tasks.end(), [](auto const& task) { return task.live.empty(); });
            bool const mayStart = !tasks[index].isDone && (stages[stage].isGang ? isGangIdle : tasks[index].live.size() < (stages[stage].allowsSpeculativeCopies ? 2 : 1));
            if (mayStart) {
                for (uint32_t member = 0; member < tasks.size(); member++) {
                    if (stages[stage].isGang || member == index)
                        start(occurrence, static_cast<uint32_t>(stage), member);
                }
            }
            if (started.empty())
                continue;
            CommitEnd const end = OneJob::end(*rc::gen::elementOf(started), *rc::gen::element(AttemptEnd::Done, AttemptEnd::Failed, AttemptEnd::Failed, AttemptEnd::Lost));
            expected.end(end);
            each.apply({ end });
            RC_ASSERT(each.state() == expected.state);
            JobTable restored; // Counts anew what the table keeps count of.
            restored.restore(each.jobs.takeSnapshot());
            for (auto const& [number, record] : each.job().occurrences) {
                for (size_t i = 0; i < record.stages.size(); i++) {
                    StageRecord const& counted = restored.find(each.id)->occurrences.at(number).stages[i];
                    RC_ASSERT(record.stages[i].doneCount == counted.doneCount);
                    RC_ASSERT(record.stages[i].waitingCount == counted.waitingCount);
                }
            }
            if (step % 2)
                each.jobs.restore(restored.takeSnapshot());
        }
    });
}
