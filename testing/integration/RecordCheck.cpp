#include "testing/integration/RecordCheck.h"

#include <fmt/format.h>

#include <map>

namespace cornelpond {

namespace {

    struct RunningAttempt {
        uint64_t attempt = 0;
        std::string place;
        Resources resources;
    };

    std::string describe(RecordEntry const& entry)
    {
        return fmt::format("{} attempt {} on {} at {} us", entry.task.value(), entry.attempt, entry.place, entry.atUs);
    }

    using RunningByTask = std::map<TaskId, std::vector<RunningAttempt>>;

    void removeEndedAttempt(RunningByTask& running, RecordEntry const& end)
    {
        auto& attempts = running[end.task];
        for (auto attempt = attempts.begin(); attempt != attempts.end(); ++attempt) {
            if (attempt->attempt == end.attempt && attempt->place == end.place) {
                attempts.erase(attempt);
                return;
            }
        }
    }

} // namespace

Violations findOverlaps(std::vector<RecordEntry> const& record)
{
    Violations violations;
    RunningByTask running;
    std::map<std::pair<TaskId, uint64_t>, RecordEntry> started;
    std::map<std::string, int64_t> upSince;
    for (auto const& entry : record) {
        if (entry.kind == RecordKind::WorkerUp)
            upSince[entry.place] = entry.atUs;
        if (entry.kind == RecordKind::AttemptEnd)
            removeEndedAttempt(running, entry);
        if (entry.kind != RecordKind::AttemptStart)
            continue;
        for (auto const& other : running[entry.task])
            violations.push_back(fmt::format("{} while attempt {} runs on {}", describe(entry), other.attempt, other.place));
        auto const [first, isFirst] = started.emplace(std::make_pair(entry.task, entry.attempt), entry);
        bool const cameUpAnew = first->second.place == entry.place && first->second.atUs < upSince[entry.place];
        if (!isFirst && !cameUpAnew)
            violations.push_back(describe(entry) + " was started twice");
        first->second = entry;
        running[entry.task].push_back({ entry.attempt, entry.place, entry.resources });
    }
    return violations;
}

Violations findOverCapacity(std::vector<RecordEntry> const& record)
{
    Violations violations;
    std::map<std::string, Resources> capacity;
    std::map<std::string, Resources> reserved;
    std::map<std::pair<TaskId, uint64_t>, Resources> sizes;
    for (auto const& entry : record) {
        if (entry.kind == RecordKind::WorkerUp) {
            capacity[entry.place] = entry.resources;
        } else if (entry.kind == RecordKind::AttemptEnd) {
            reserved[entry.place] -= sizes[{ entry.task, entry.attempt }];
        } else if (entry.kind == RecordKind::AttemptStart) {
            sizes[{ entry.task, entry.attempt }] = entry.resources;
            reserved[entry.place] += entry.resources;
            if (!reserved[entry.place].fitsIn(capacity[entry.place]))
                violations.push_back(fmt::format("{}: {} millicores, {} MiB, {} accelerators reserved", describe(entry), reserved[entry.place].milliCores, reserved[entry.place].memoryMiB,
                    reserved[entry.place].accelerators));
        }
    }
    return violations;
}

Violations findBadResumes(std::vector<RecordEntry> const& record, std::set<TaskId> const& cancelled)
{
    Violations violations;
    std::map<TaskId, RecordEntry> stopped;
    for (auto const& entry : record) {
        if (entry.kind == RecordKind::AttemptEnd && !entry.checkpoint.empty())
            stopped[entry.task] = entry;
        if (entry.kind != RecordKind::AttemptStart)
            continue;
        auto const open = stopped.find(entry.task);
        if (open == stopped.end())
            continue;
        if (entry.checkpoint != open->second.checkpoint)
            violations.push_back(fmt::format("{} resumes from '{}', the last checkpoint is '{}'", describe(entry), entry.checkpoint, open->second.checkpoint));
        stopped.erase(open);
    }
    for (auto const& [task, entry] : stopped) {
        if (!cancelled.count(task))
            violations.push_back(describe(entry) + " was stopped and never resumed");
    }
    return violations;
}

Violations findUnfinishedTasks(std::vector<RecordEntry> const& record, std::set<TaskId> const& accepted)
{
    std::set<TaskId> unfinished = accepted;
    for (auto const& entry : record) {
        if (entry.kind == RecordKind::AttemptEnd && entry.outcome == "finished")
            unfinished.erase(entry.task);
    }
    Violations violations;
    for (auto const& task : unfinished)
        violations.push_back(task.value() + " never finished");
    return violations;
}

Violations findStartsAfterCancellation(std::vector<RecordEntry> const& record, std::set<TaskId> const& cancelled, int64_t afterUs)
{
    Violations violations;
    for (auto const& entry : record) {
        if (entry.kind == RecordKind::AttemptStart && entry.atUs > afterUs && cancelled.count(entry.task))
            violations.push_back(describe(entry) + " started after the cancellation");
    }
    return violations;
}

Violations findRepeatedKeys(std::vector<RecordEntry> const& record)
{
    Violations violations;
    std::map<std::string, int> runs;
    for (auto const& entry : record) {
        if (entry.kind == RecordKind::RequestRun && !entry.key.empty() && ++runs[entry.key] > 1)
            violations.push_back(fmt::format("key {} ran again on {} at {} us", entry.key, entry.place, entry.atUs));
    }
    return violations;
}

Violations findRunsOfRefusedRequests(std::vector<RecordEntry> const& record, std::set<std::string> const& refused)
{
    Violations violations;
    for (auto const& entry : record) {
        if (entry.kind == RecordKind::RequestRun && refused.count(entry.request))
            violations.push_back(fmt::format("{} ran on {} at {} us", entry.request, entry.place, entry.atUs));
    }
    return violations;
}

Violations findServerOverloads(std::vector<RecordEntry> const& record)
{
    Violations violations;
    for (auto const& entry : record) {
        if (entry.kind == RecordKind::SlotsExceeded || entry.kind == RecordKind::ConnectionsExceeded)
            violations.push_back(fmt::format("{} on {} at {} us", recordKindName(entry.kind), entry.place, entry.atUs));
    }
    return violations;
}

Violations findRequestsAfterLeave(std::vector<RecordEntry> const& record, int64_t graceUs)
{
    Violations violations;
    std::map<std::string, int64_t> leftAt;
    for (auto const& entry : record) {
        if (entry.kind == RecordKind::ServerLeft)
            leftAt[entry.place] = entry.atUs;
        if (entry.kind == RecordKind::ServerJoined)
            leftAt.erase(entry.place);
        auto const left = leftAt.find(entry.place);
        if (entry.kind == RecordKind::RequestRun && left != leftAt.end() && entry.atUs > left->second + graceUs)
            violations.push_back(fmt::format("{} got {} {} us after it left", entry.place, entry.request, entry.atUs - left->second));
    }
    return violations;
}

} // namespace cornelpond
