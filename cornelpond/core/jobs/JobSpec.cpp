#include "cornelpond/core/jobs/JobSpec.h"

#include "cornelpond/core/base/ResultCode.h"

#include <algorithm>
#include <tuple>

namespace cornelpond {

namespace {

    // Limits for one occurrence of a job.
    constexpr uint64_t maxTasks = 200000; ///< Every host keeps a record for each of them.
    constexpr double maxWork = 1e18; ///< In the unit of StageSpec::taskWork(), whose sums are 64-bit numbers.

    // Bits of a stored stage. They never change meaning.
    constexpr uint64_t gangFlag = 1;
    constexpr uint64_t oneRackFlag = 2;
    constexpr uint64_t checkpointsFlag = 4;
    constexpr uint64_t copiesFlag = 8;
    constexpr uint64_t serviceFlag = 16;
    constexpr uint64_t bestEffortFlag = 32;

    uint64_t flagsOf(StageSpec const& stage)
    {
        return (stage.isGang ? gangFlag : 0) | (stage.prefersOneRack ? oneRackFlag : 0) | (stage.savesCheckpoints ? checkpointsFlag : 0)
            | (stage.allowsSpeculativeCopies ? copiesFlag : 0) | (stage.isService ? serviceFlag : 0) | (stage.isBestEffort ? bestEffortFlag : 0);
    }

    void setFlags(StageSpec& stage, uint64_t flags)
    {
        stage.isGang = flags & gangFlag;
        stage.prefersOneRack = flags & oneRackFlag;
        stage.savesCheckpoints = flags & checkpointsFlag;
        stage.allowsSpeculativeCopies = flags & copiesFlag;
        stage.isService = flags & serviceFlag;
        stage.isBestEffort = flags & bestEffortFlag;
    }

    void write(ByteWriter& out, StageSpec const& stage)
    {
        out.number(stage.taskCount);
        cornelpond::write(out, stage.need);
        out.number(static_cast<uint64_t>(stage.estimatedRunTime.toMicroseconds()));
        out.number(stage.dependsOn.size());
        for (auto const earlier : stage.dependsOn)
            out.number(earlier);
        out.text(stage.requiredLabel);
        out.text(stage.dataRack.value());
        out.number(stage.maxTasksPerWorker);
        out.number(stage.maxUnavailable);
        out.number(flagsOf(stage));
        out.text(stage.image);
        out.number(static_cast<uint64_t>(stage.latencyTarget.toMicroseconds()));
    }

    uint32_t readUint32(ByteReader& in)
    {
        return static_cast<uint32_t>(in.number());
    }

    Duration readDuration(ByteReader& in)
    {
        return Duration::microseconds(static_cast<int64_t>(in.number()));
    }

    StageSpec readStage(ByteReader& in)
    {
        StageSpec stage;
        stage.taskCount = readUint32(in);
        stage.need = readResources(in);
        stage.estimatedRunTime = readDuration(in);
        for (uint64_t remaining = in.number(); remaining; remaining--)
            stage.dependsOn.push_back(readUint32(in));
        stage.requiredLabel = in.text();
        stage.dataRack = RackId(std::string(in.text()));
        stage.maxTasksPerWorker = readUint32(in);
        stage.maxUnavailable = readUint32(in);
        setFlags(stage, in.number());
        stage.image = in.text();
        stage.latencyTarget = readDuration(in);
        return stage;
    }

    void checkStage(StageSpec const& stage, size_t position)
    {
        auto const refuse = [&](char const* fault) { throw Error(ResultCode::SchemaViolation, "stage " + std::to_string(position) + ": " + fault); };
        if (!stage.taskCount || stage.taskCount > maxTasksPerStage)
            refuse("the number of tasks is out of range");
        if (!stage.need.isNonNegative() || stage.estimatedRunTime < Duration() || stage.latencyTarget < Duration())
            refuse("an amount is negative");
        for (auto const earlier : stage.dependsOn) {
            if (earlier >= position)
                refuse("depends on itself or a later stage");
        }
    }

    void checkTotals(JobSpec const& job)
    {
        uint64_t tasks = 0;
        double work = 0;
        for (auto const& stage : job.stages) {
            tasks += stage.taskCount;
            work += static_cast<double>(stage.taskCount) * static_cast<double>(stage.need.milliCores) * static_cast<double>(stage.estimatedRunTime.toMilliseconds());
        }
        if (tasks > maxTasks || work > maxWork)
            throw Error(ResultCode::SchemaViolation, "the job's tasks or their estimated work are out of range");
    }

} // namespace

bool TaskRef::operator<(TaskRef const& other) const
{
    return std::tie(this->job, this->occurrence, this->stage, this->index) < std::tie(other.job, other.occurrence, other.stage, other.index);
}

bool JobSpec::hasServiceStage() const
{
    return std::any_of(this->stages.begin(), this->stages.end(), [](StageSpec const& stage) { return stage.isService; });
}

std::string TaskRef::text() const
{
    return this->job.value() + '.' + std::to_string(this->occurrence) + '.' + std::to_string(this->stage) + '.' + std::to_string(this->index);
}

void checkJobSpec(JobSpec const& job)
{
    if (job.id.empty())
        throw Error(ResultCode::SchemaViolation, "the job has no id");
    if (job.stages.empty() || job.stages.size() > maxStages)
        throw Error(ResultCode::SchemaViolation, "the number of stages is out of range");
    for (size_t i = 0; i < job.stages.size(); i++)
        checkStage(job.stages[i], i);
    checkTotals(job);
}

void write(ByteWriter& out, Resources const& resources)
{
    out.number(static_cast<uint64_t>(resources.milliCores));
    out.number(static_cast<uint64_t>(resources.memoryMiB));
    out.number(static_cast<uint64_t>(resources.accelerators));
}

Resources readResources(ByteReader& in)
{
    Resources resources;
    resources.milliCores = static_cast<int64_t>(in.number());
    resources.memoryMiB = static_cast<int64_t>(in.number());
    resources.accelerators = static_cast<int64_t>(in.number());
    return resources;
}

void write(ByteWriter& out, JobSpec const& job)
{
    out.text(job.id.value());
    out.text(job.payload);
    out.number(job.stages.size());
    for (auto const& stage : job.stages)
        write(out, stage);
    out.number(static_cast<uint64_t>(job.schedule.firstWallMs));
    out.number(static_cast<uint64_t>(job.schedule.interval.toMicroseconds()));
    out.number(job.schedule.occurrences);
}

JobSpec readJobSpec(ByteReader& in)
{
    JobSpec job;
    job.id = JobId(std::string(in.text()));
    job.payload = in.text();
    for (uint64_t remaining = in.number(); remaining; remaining--)
        job.stages.push_back(readStage(in));
    job.schedule.firstWallMs = static_cast<int64_t>(in.number());
    job.schedule.interval = readDuration(in);
    job.schedule.occurrences = readUint32(in);
    return job;
}

void write(ByteWriter& out, TaskRef const& task)
{
    out.text(task.job.value());
    out.number(task.occurrence);
    out.number(task.stage);
    out.number(task.index);
}

TaskRef readTaskRef(ByteReader& in)
{
    TaskRef task;
    task.job = JobId(std::string(in.text()));
    task.occurrence = readUint32(in);
    task.stage = readUint32(in);
    task.index = readUint32(in);
    return task;
}

} // namespace cornelpond
