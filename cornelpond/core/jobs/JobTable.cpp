#include "cornelpond/core/jobs/JobTable.h"

#include <algorithm>

namespace cornelpond {

namespace {

    /// In snapshots the number of a gang's failures takes the lower bits, which are all that earlier versions read, and the latest
    /// failed attempt the others.
    constexpr unsigned gangFailureBits = 32;
    constexpr size_t maxAttemptsWithCopies = 2; ///< Live attempts of one task when speculative copies are allowed.

    /// The stage that the task belongs to, or null when there is no such task.
    template <typename Job>
    auto stageOf(Job& job, TaskRef const& task) -> decltype(&job.occurrences.begin()->second.stages.front())
    {
        auto const occurrence = job.occurrences.find(task.occurrence);
        if (occurrence == job.occurrences.end() || task.stage >= occurrence->second.stages.size())
            return nullptr;
        auto& stage = occurrence->second.stages[task.stage];
        return task.index < stage.tasks.size() ? &stage : nullptr;
    }

    void visitLiveAttempts(TaskRef task, StageRecord const& stage, std::function<void(TaskRef const&, TaskRecord const&, Attempt const&)> const& visit)
    {
        for (; task.index < stage.tasks.size(); task.index++) {
            for (auto const& attempt : stage.tasks[task.index].liveAttempts)
                visit(task, stage.tasks[task.index], attempt);
        }
    }

    bool hasLiveAttempt(StageRecord const& stage)
    {
        return std::any_of(stage.tasks.begin(), stage.tasks.end(), [](TaskRecord const& task) { return !task.liveAttempts.empty(); });
    }

    OccurrenceRecord newOccurrence(JobSpec const& spec)
    {
        OccurrenceRecord occurrence;
        for (auto const& stage : spec.stages) {
            StageRecord record;
            record.tasks.resize(stage.taskCount);
            record.waitingCount = stage.taskCount;
            occurrence.stages.push_back(std::move(record));
        }
        return occurrence;
    }

    void copyQueueSettings(JobRecord& job, QueueTable const& queues)
    {
        QueueSpec const* queue = queues.find(job.queue);
        if (!queue)
            return;
        job.service = queue->service;
        job.priority = queue->priority;
        job.maxAttempts = queue->maxAttempts;
    }

    /// Without the queue, the settings of a record that has never had one: all hosts must come to the same.
    void initializeQueueSettings(JobRecord& job, QueueTable const& queues)
    {
        JobRecord const unset;
        job.service = unset.service;
        job.priority = unset.priority;
        job.maxAttempts = unset.maxAttempts;
        copyQueueSettings(job, queues);
    }

    JobRecord newRecord(SubmitJob const& command, QueueTable const& queues)
    {
        JobRecord job;
        job.spec = command.job;
        job.queue = command.queue;
        job.acceptedWallMs = command.acceptedWallMs;
        copyQueueSettings(job, queues);
        if (!job.spec.isScheduled()) {
            job.occurrences.emplace(0, newOccurrence(job.spec));
            job.occurrencesOpened = 1;
        }
        return job;
    }

    /// False when the attempt is not live.
    bool removeLiveAttempt(JobRecord& job, StageRecord& stage, CommitEnd const& end)
    {
        TaskRecord& task = stage.tasks[end.task.index];
        auto const attempt = std::find(task.liveAttempts.begin(), task.liveAttempts.end(), Attempt { end.attempt, end.worker });
        if (attempt == task.liveAttempts.end())
            return false;
        task.liveAttempts.erase(attempt);
        stage.waitingCount += task.isWaiting();
        job.liveAttemptCount--;
        return true;
    }

    void keepCheckpoint(StageSpec const& spec, StageRecord& stage, CommitEnd const& end)
    {
        if (end.checkpoint.empty())
            return;
        for (size_t i = 0; i < stage.tasks.size(); i++) {
            if (spec.isGang || i == end.task.index)
                stage.tasks[i].checkpoint = end.checkpoint;
        }
    }

    void write(ByteWriter& out, TaskRecord const& task)
    {
        out.number(task.lastAttempt.value());
        out.number(task.failures);
        out.number(task.isDone);
        out.text(task.checkpoint);
        out.number(task.liveAttempts.size());
        for (auto const& attempt : task.liveAttempts) {
            out.number(attempt.number.value());
            out.text(attempt.worker.value());
        }
    }

    TaskRecord readTask(ByteReader& in)
    {
        TaskRecord task;
        task.lastAttempt = AttemptNumber(in.number());
        task.failures = static_cast<uint32_t>(in.number());
        task.isDone = in.number();
        task.checkpoint = in.text();
        for (uint64_t remaining = in.number(); remaining; remaining--) {
            AttemptNumber const number(in.number());
            task.liveAttempts.push_back({ number, WorkerId(std::string(in.text())) });
        }
        return task;
    }

    void write(ByteWriter& out, StageRecord const& stage)
    {
        out.number(stage.gangFailures | stage.lastGangFailure.value() << gangFailureBits);
        out.number(stage.tasks.size());
        for (auto const& task : stage.tasks)
            write(out, task);
    }

    StageRecord readStage(ByteReader& in)
    {
        StageRecord stage;
        uint64_t const failures = in.number();
        stage.gangFailures = static_cast<uint32_t>(failures);
        stage.lastGangFailure = AttemptNumber(failures >> gangFailureBits);
        for (uint64_t remaining = in.number(); remaining; remaining--) {
            stage.tasks.push_back(readTask(in));
            stage.doneCount += stage.tasks.back().isDone;
            stage.waitingCount += stage.tasks.back().isWaiting();
        }
        return stage;
    }

    void write(ByteWriter& out, JobRecord const& job)
    {
        write(out, job.spec);
        out.text(job.queue.value());
        out.text(job.service.value());
        out.number(job.priority);
        out.number(job.maxAttempts);
        out.number(static_cast<uint64_t>(job.state));
        out.number(job.hasStarted);
        out.number(static_cast<uint64_t>(job.acceptedWallMs));
        out.number(static_cast<uint64_t>(job.endedWallMs));
        out.number(job.occurrencesOpened);
        out.number(job.occurrencesDone()); // Earlier versions count on from it.
        out.number(job.liveAttemptCount);
        out.number(job.occurrences.size());
        for (auto const& [number, occurrence] : job.occurrences) {
            out.number(number);
            out.number(occurrence.stages.size());
            for (auto const& stage : occurrence.stages)
                write(out, stage);
        }
    }

    JobRecord readJob(ByteReader& in)
    {
        JobRecord job;
        job.spec = readJobSpec(in);
        job.queue = QueueId(std::string(in.text()));
        job.service = ServiceId(std::string(in.text()));
        job.priority = static_cast<uint32_t>(in.number());
        job.maxAttempts = static_cast<uint32_t>(in.number());
        job.state = static_cast<JobState>(in.number());
        job.hasStarted = in.number();
        job.acceptedWallMs = static_cast<int64_t>(in.number());
        job.endedWallMs = static_cast<int64_t>(in.number());
        job.occurrencesOpened = static_cast<uint32_t>(in.number());
        in.number(); // The occurrences done; earlier versions may have counted some twice.
        job.liveAttemptCount = static_cast<uint32_t>(in.number());
        for (uint64_t remaining = in.number(); remaining; remaining--) {
            auto const number = static_cast<uint32_t>(in.number());
            OccurrenceRecord occurrence;
            for (uint64_t stages = in.number(); stages; stages--)
                occurrence.stages.push_back(readStage(in));
            job.occurrences.emplace(number, std::move(occurrence));
        }
        return job;
    }

} // namespace

std::string_view jobStateName(JobState state)
{
    switch (state) {
    case JobState::Active:
        return "active";
    case JobState::Completed:
        return "completed";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::string_view endEffectName(EndEffect effect)
{
    switch (effect) {
    case EndEffect::Ignored:
        return "ignored";
    case EndEffect::AttemptOver:
        return "attemptOver";
    case EndEffect::FailureCounted:
        return "failureCounted";
    case EndEffect::JobFailed:
        return "jobFailed";
    case EndEffect::TaskDone:
        return "taskDone";
    case EndEffect::StageDone:
        return "stageDone";
    case EndEffect::OccurrenceDone:
        return "occurrenceDone";
    case EndEffect::JobCompleted:
        return "jobCompleted";
    }
    return "unknown";
}

bool isTaskFinished(EndEffect effect)
{
    return effect >= EndEffect::TaskDone;
}

bool OccurrenceRecord::isDone() const
{
    return std::all_of(this->stages.begin(), this->stages.end(), [](StageRecord const& stage) { return stage.isDone(); });
}

uint32_t JobRecord::occurrencesDone() const
{
    auto const isOpen = [](auto const& entry) { return !entry.second.isDone(); };
    return this->occurrencesOpened - static_cast<uint32_t>(std::count_if(this->occurrences.begin(), this->occurrences.end(), isOpen));
}

bool JobRecord::isStageReady(OccurrenceRecord const& occurrence, size_t stage) const
{
    auto const& after = this->spec.stages[stage].dependsOn;
    return std::all_of(after.begin(), after.end(), [&](uint32_t earlier) { return occurrence.stages[earlier].isDone(); });
}

JobTable::JobTable(JobTableHooks hooks)
    : hooks(std::move(hooks))
{
}

void JobTable::apply(JobCommand const& command, QueueTable const& queues)
{
    std::visit([&](auto const& value) { this->apply(value, queues); }, command);
}

void JobTable::apply(SubmitJob const& command, QueueTable const& queues)
{
    if (this->jobs.count(command.job.id))
        return;
    // Keeps the address of an expected record.
    auto node = this->expectedJobs.extract(command.job.id);
    if (node) {
        initializeQueueSettings(node.mapped(), queues);
        this->jobs.insert(std::move(node));
    } else {
        this->jobs.emplace(command.job.id, newRecord(command, queues));
    }
    this->notifyJobChanged(this->jobs.at(command.job.id));
}

JobRecord const& JobTable::expect(SubmitJob const& command, QueueTable const& queues)
{
    return this->expectedJobs.insert_or_assign(command.job.id, newRecord(command, queues)).first->second;
}

JobSpec const* JobTable::findSpec(JobId const& id) const
{
    auto const expected = this->expectedJobs.find(id);
    if (expected != this->expectedJobs.end())
        return &expected->second.spec;
    JobRecord const* job = this->find(id);
    return job ? &job->spec : nullptr;
}

void JobTable::apply(CancelJob const& command, QueueTable const&)
{
    JobRecord* job = this->findMutable(command.job);
    if (!job)
        this->cancelledIds.add(command.job, command.wallMs);
    else if (job->state == JobState::Active)
        this->endJob(*job, JobState::Cancelled, command.wallMs);
}

void JobTable::apply(UpdateTasks const& command, QueueTable const&)
{
    for (auto const& update : command.updates)
        std::visit([&](auto const& value) { this->applyUpdate(value, command.wallMs); }, update);
}

void JobTable::applyUpdate(CommitStart const& start, int64_t)
{
    auto const& hook = this->startIfAllowed(start) ? this->hooks.onStartApplied : this->hooks.onStartRefused;
    if (hook)
        hook(start);
}

bool JobTable::startIfAllowed(CommitStart const& start)
{
    JobRecord* job = this->findMutable(start.task.job);
    StageRecord* stage = job && job->state == JobState::Active ? stageOf(*job, start.task) : nullptr;
    if (!stage || !job->isStageReady(job->occurrences.at(start.task.occurrence), start.task.stage))
        return false;
    TaskRecord& task = stage->tasks[start.task.index];
    size_t const maxLiveAttempts = job->spec.stages[start.task.stage].allowsSpeculativeCopies ? maxAttemptsWithCopies : 1;
    if (task.isDone || task.liveAttempts.size() >= maxLiveAttempts || start.attempt <= task.lastAttempt)
        return false;
    stage->waitingCount -= task.isWaiting();
    task.lastAttempt = start.attempt;
    task.liveAttempts.push_back({ start.attempt, start.worker });
    job->liveAttemptCount++;
    return true;
}

void JobTable::applyUpdate(CommitEnd const& end, int64_t wallMs)
{
    JobRecord* job = this->findMutable(end.task.job);
    StageRecord* stage = job ? stageOf(*job, end.task) : nullptr;
    EndEffect const effect = stage ? this->applyEnd(*job, *stage, end, wallMs) : EndEffect::Ignored;
    if (this->hooks.onEndApplied)
        this->hooks.onEndApplied(end, effect);
}

EndEffect JobTable::applyEnd(JobRecord& job, StageRecord& stage, CommitEnd const& end, int64_t wallMs)
{
    bool const wasLive = removeLiveAttempt(job, stage, end);
    bool const isLateFinish = !wasLive && end.end == AttemptEnd::Done && this->canFinishLate(end.task, end.attempt);
    if (!wasLive && !isLateFinish)
        return EndEffect::Ignored;
    job.hasStarted |= isEndOfRun(end.end);
    bool const isOpen = job.state == JobState::Active && !stage.tasks[end.task.index].isDone;
    EndEffect const effect = isOpen ? this->applyEndOfOpenTask(job, stage, end, wallMs) : EndEffect::AttemptOver;
    this->dropFinishedRecords(job);
    return effect;
}

/// A task is done once: the ends that come later, of its other attempt or of the other members of its gang, must not reach the
/// stage, the occurrence or the job.
EndEffect JobTable::applyEndOfOpenTask(JobRecord& job, StageRecord& stage, CommitEnd const& end, int64_t wallMs)
{
    StageSpec const& spec = job.spec.stages[end.task.stage];
    keepCheckpoint(spec, stage, end);
    if (end.end == AttemptEnd::Done && !spec.isService)
        return this->finishTask(job, job.occurrences.at(end.task.occurrence), end.task, wallMs);
    if (end.end == AttemptEnd::Failed && !spec.isService)
        return this->countFailure(job, stage, end, wallMs);
    return EndEffect::AttemptOver;
}

EndEffect JobTable::finishTask(JobRecord& job, OccurrenceRecord& occurrence, TaskRef const& task, int64_t wallMs)
{
    StageRecord& stage = occurrence.stages[task.stage];
    bool const isGang = job.spec.stages[task.stage].isGang;
    for (size_t i = 0; i < stage.tasks.size(); i++) {
        TaskRecord& record = stage.tasks[i];
        if (record.isDone || (!isGang && i != task.index))
            continue;
        stage.waitingCount -= record.isWaiting();
        record.isDone = true;
        stage.doneCount++;
    }
    if (!stage.isDone())
        return EndEffect::TaskDone;
    if (job.occurrencesDone() == job.occurrenceCount()) {
        this->endJob(job, JobState::Completed, wallMs);
        return EndEffect::JobCompleted;
    }
    EndEffect const effect = occurrence.isDone() ? EndEffect::OccurrenceDone : EndEffect::StageDone;
    this->notifyJobChanged(job);
    return effect;
}

EndEffect JobTable::countFailure(JobRecord& job, StageRecord& stage, CommitEnd const& end, int64_t wallMs)
{
    bool const isGang = job.spec.stages[end.task.stage].isGang;
    // Several members may fail in one attempt, which is one failure of the gang.
    if (isGang && end.attempt <= stage.lastGangFailure)
        return EndEffect::AttemptOver;
    if (isGang)
        stage.lastGangFailure = end.attempt;
    uint32_t const failures = isGang ? ++stage.gangFailures : ++stage.tasks[end.task.index].failures;
    if (failures < job.maxAttempts)
        return EndEffect::FailureCounted;
    this->endJob(job, JobState::Failed, wallMs);
    return EndEffect::JobFailed;
}

void JobTable::applyUpdate(OpenOccurrence const& open, int64_t)
{
    JobRecord* job = this->findMutable(open.job);
    if (!job || job->state != JobState::Active || open.occurrence != job->occurrencesOpened || open.occurrence >= job->spec.schedule.occurrences)
        return;
    job->occurrences.emplace(open.occurrence, newOccurrence(job->spec));
    job->occurrencesOpened++;
    this->notifyJobChanged(*job);
}

void JobTable::applyUpdate(RemoveJob const& remove, int64_t wallMs)
{
    JobRecord const* job = this->find(remove.job);
    if (!job || job->state == JobState::Active || job->liveAttemptCount)
        return;
    if (job->state == JobState::Cancelled)
        this->cancelledIds.add(remove.job, wallMs);
    this->jobs.erase(remove.job);
    if (this->hooks.onJobRemoved)
        this->hooks.onJobRemoved(remove.job);
}

void JobTable::applyUpdate(MarkBegun const& mark, int64_t)
{
    if (JobRecord* job = this->findMutable(mark.job))
        job->hasStarted = true;
}

void JobTable::endJob(JobRecord& job, JobState state, int64_t wallMs)
{
    job.state = state;
    job.endedWallMs = wallMs;
    this->dropFinishedRecords(job);
    this->notifyJobChanged(job);
}

/// Drops occurrences that are done, and all occurrences and the payload of an ended job, once none of their attempts is
/// live.
void JobTable::dropFinishedRecords(JobRecord& job)
{
    if (job.state != JobState::Active && !job.liveAttemptCount) {
        job.occurrences.clear();
        job.spec.payload = std::string(); // Otherwise every snapshot would hold it without need.
        return;
    }
    for (auto at = job.occurrences.begin(); at != job.occurrences.end();) {
        bool const isOver = at->second.isDone() && std::none_of(at->second.stages.begin(), at->second.stages.end(), hasLiveAttempt);
        at = isOver ? job.occurrences.erase(at) : std::next(at);
    }
}

void JobTable::notifyJobChanged(JobRecord const& job) const
{
    if (this->hooks.onJobChanged)
        this->hooks.onJobChanged(job);
}

void JobTable::onQueuesChanged(QueueTable const& queues)
{
    for (auto& [id, job] : this->jobs)
        copyQueueSettings(job, queues);
}

JobRecord const* JobTable::find(JobId const& id) const
{
    auto const found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : &found->second;
}

std::string_view JobTable::stateName(JobId const& id) const
{
    JobRecord const* job = this->find(id);
    return job ? jobStateName(job->state) : "notKnown";
}

JobRecord* JobTable::findMutable(JobId const& id)
{
    auto const found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : &found->second;
}

TaskRecord const* JobTable::findTask(TaskRef const& task) const
{
    JobRecord const* job = this->find(task.job);
    StageRecord const* stage = job ? stageOf(*job, task) : nullptr;
    return stage ? &stage->tasks[task.index] : nullptr;
}

void JobTable::forEachLiveAttempt(std::function<void(TaskRef const&, TaskRecord const&, Attempt const&)> const& visit) const
{
    for (auto const& [id, job] : this->jobs)
        this->forEachLiveAttemptOf(id, visit);
}

void JobTable::forEachLiveAttemptOf(JobId const& id, std::function<void(TaskRef const&, TaskRecord const&, Attempt const&)> const& visit) const
{
    JobRecord const* job = this->find(id);
    if (!job || !job->liveAttemptCount)
        return;
    for (auto const& [number, occurrence] : job->occurrences) {
        for (uint32_t stage = 0; stage < occurrence.stages.size(); stage++)
            visitLiveAttempts({ id, number, stage, 0 }, occurrence.stages[stage], visit);
    }
}

bool JobTable::canFinishLate(TaskRef const& task, AttemptNumber attempt) const
{
    JobRecord const* job = this->find(task.job);
    TaskRecord const* record = this->findTask(task);
    if (!record || job->state != JobState::Active || record->isDone)
        return false;
    StageSpec const& stage = job->spec.stages[task.stage];
    bool const isLive = std::any_of(record->liveAttempts.begin(), record->liveAttempts.end(), [&](Attempt const& live) { return live.number == attempt; });
    return !isLive && attempt <= record->lastAttempt && !stage.isService && !stage.isGang;
}

bool JobTable::hasLiveNonServiceAttempt(TaskRef const& task) const
{
    TaskRecord const* record = this->findTask(task);
    return record && !record->liveAttempts.empty() && !this->find(task.job)->spec.stages[task.stage].isService;
}

bool JobTable::isLive(TaskRef const& task, Attempt const& attempt) const
{
    TaskRecord const* record = this->findTask(task);
    return record && std::find(record->liveAttempts.begin(), record->liveAttempts.end(), attempt) != record->liveAttempts.end();
}

bool JobTable::isWanted(TaskRef const& task, Attempt const& attempt) const
{
    JobRecord const* job = this->find(task.job);
    TaskRecord const* record = this->findTask(task);
    if (!record || job->state != JobState::Active || !this->isLive(task, attempt))
        return false;
    // The remaining members of a gang that is done end on their own; they are not stopped.
    return !record->isDone || job->spec.stages[task.stage].isGang;
}

std::string JobTable::takeSnapshot() const
{
    ByteWriter out;
    out.number(this->jobs.size());
    for (auto const& [id, job] : this->jobs)
        write(out, job);
    if (!this->cancelledIds.empty()) // Earlier versions read no further.
        this->cancelledIds.write(out);
    return out.take();
}

void JobTable::restore(std::string const& snapshot)
{
    std::unordered_map<JobId, JobRecord> restored;
    ByteReader in(snapshot);
    for (uint64_t remaining = in.number(); remaining; remaining--) {
        JobRecord job = readJob(in);
        JobId const id = job.spec.id;
        restored.emplace(id, std::move(job));
    }
    CancelledIds cancels;
    if (!in.isAtEnd())
        cancels = CancelledIds::read(in);
    in.expectEnd();
    this->jobs = std::move(restored);
    this->cancelledIds = std::move(cancels);
}

} // namespace cornelpond
