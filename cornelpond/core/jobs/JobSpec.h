#pragma once

// The description of a job as a client submits it: stages of equal tasks, run once or on a schedule.
//
// Example:
//   JobSpec job;
//   job.id = JobId("plan-7");
//   job.stages.push_back(StageSpec());
//   job.stages.back().taskCount = 4;
//   checkJobSpec(job);

#include "cornelpond/core/base/ByteCodec.h"
#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelpond {

using JobId = TextId<struct JobIdTag>;
using QueueId = TextId<struct QueueIdTag>; ///< A queue's name in the configuration.

/// One stage of a job. All its tasks have the same requirements.
struct StageSpec {
    uint32_t taskCount = 1;
    Resources need; ///< Requested for each task.
    Duration estimatedRunTime; ///< The client's rough estimate for one task.
    std::vector<uint32_t> dependsOn; ///< Indices of earlier stages that must be done first.
    std::string requiredLabel; ///< Empty: any worker.
    RackId dataRack; ///< Tasks run slower on any other rack; empty: no preference.
    uint32_t maxTasksPerWorker = 0; ///< Anti-affinity: limit for the tasks of one occurrence; 0: no limit.
    uint32_t maxUnavailable = 0; ///< How many of a service's tasks may be taken away at the same time; 0: no limit given.
    bool isGang = false; ///< All tasks start together under one attempt number and end together.
    bool prefersOneRack = false; ///< A gang runs slower when it is spread over several racks.
    bool savesCheckpoints = false;
    bool allowsSpeculativeCopies = false; ///< Two attempts of one task may run at once; the first to finish counts.
    bool isService = false; ///< Runs until the job is cancelled; restarted however it ends.
    bool isBestEffort = false; ///< Its cores are not reserved: it uses what other tasks leave idle.
    std::string image; ///< Tasks of the same image are expected to behave alike.
    Duration latencyTarget; ///< Upper limit for a service task's tail latency; zero: no target.

    /// True for tasks that end soon and whose cores are reserved.
    bool isShort() const { return !this->isService && !this->isBestEffort; }
    /// What one task takes of its worker's capacity: a best-effort task reserves no cores.
    Resources reservedPerTask() const { return this->isBestEffort ? Resources { 0, this->need.memoryMiB, this->need.accelerators } : this->need; }
    /// Estimated work of one task in milli-cores times milliseconds.
    int64_t taskWork() const { return this->need.milliCores * this->estimatedRunTime.toMilliseconds(); }
};

/// When a job's stages run. Without a schedule they run once, immediately.
struct ScheduleSpec {
    int64_t firstWallMs = 0; ///< Milliseconds since the Unix epoch.
    Duration interval;
    uint32_t occurrences = 0; ///< 0: no schedule.
};

struct JobSpec {
    JobId id;
    std::string payload; ///< Opaque; passed to the workers.
    std::vector<StageSpec> stages;
    ScheduleSpec schedule;

    bool isScheduled() const { return this->schedule.occurrences > 0; }
    /// True when the job runs until it is cancelled.
    bool hasServiceStage() const;
};

/// One task of one occurrence of a job.
struct TaskRef {
    JobId job;
    uint32_t occurrence = 0;
    uint32_t stage = 0;
    uint32_t index = 0;

    bool operator==(TaskRef const& other) const
    {
        return this->occurrence == other.occurrence && this->stage == other.stage && this->index == other.index && this->job == other.job;
    }
    bool operator!=(TaskRef const& other) const { return !(*this == other); }
    bool operator<(TaskRef const& other) const;

    /// "JOB.OCCURRENCE.STAGE.INDEX", for logs.
    std::string text() const;
};

constexpr size_t maxStages = 256;
constexpr uint32_t maxTasksPerStage = 100000;

/// Throws Error(SchemaViolation) when the id is missing, a number or amount is out of range, or a stage depends on
/// itself or a later one.
void checkJobSpec(JobSpec const& job);

void write(ByteWriter& out, JobSpec const& job);

/// Throws Error(MalformedMessage).
JobSpec readJobSpec(ByteReader& in);

void write(ByteWriter& out, TaskRef const& task);
TaskRef readTaskRef(ByteReader& in);

void write(ByteWriter& out, Resources const& resources);
Resources readResources(ByteReader& in);

} // namespace cornelpond
