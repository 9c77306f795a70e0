#include "cornelpond/app/GroupHost.h"

#include "cornelpond/adapters/file/DurableFile.h"
#include "cornelpond/core/agreement/FlushPacing.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr Duration startRetryInterval = Duration::seconds(1);
    constexpr Duration startFaultInterval = Duration::seconds(5); ///< Between two StorageFault lines of a group.

    /// Prefixes one message of a group's log with the group's name, which has at most 255 bytes.
    std::string encodeGroupMessage(GroupId const& group, std::string const& bytes)
    {
        std::string payload(1, static_cast<char>(group.value().size()));
        payload += group.value();
        payload += bytes;
        return payload;
    }

} // namespace

struct GroupHost::Group {
    Group(std::string const& folder, EventSink& events, Duration maxFlushPause)
        : storage(folder, events)
        , flushPacing(maxFlushPause)
    {
    }

    JournalStorage storage;
    std::unique_ptr<ReplicatedLog> log;
    bool isServed = false;
    ResultCode startFailure = ResultCode::Ok; ///< Of the latest start.
    TimePoint startedAt = TimePoint::distantPast(); ///< When it was last tried to start the log.
    TimePoint startFaultReportedAt = TimePoint::distantPast();
    FlushPacing flushPacing;
    TimerId flushTimer;
};

/// Stands for every group's log on a host without a disk: it never leads and reports no leader.
class GroupHost::DisklessLog final : public CommandLog {
public:
    bool isLeader() const override { return false; }
    bool isLeadershipConfirmed() const override { return false; }
    Term term() const override { return Term(); }
    HostId leader() const override { return HostId(); }
    void propose(std::string, Done done) override { done({ ResultCode::NotLeader, LogIndex() }); }
};

GroupHost::GroupHost(Clock const& clock, Timers& timers, Random& random, EventSink& events, HostId self, std::string dataFolder, Duration maxFlushPause, Send send)
    : clock(clock)
    , timers(timers)
    , random(random)
    , events(events)
    , self(std::move(self))
    , dataFolder(std::move(dataFolder))
    , maxFlushPause(maxFlushPause)
    , send(std::move(send))
    , disklessLog(std::make_unique<DisklessLog>())
{
}

GroupHost::~GroupHost()
{
    for (auto const& [id, group] : this->groups)
        this->timers.cancel(group->flushTimer);
}

CommandLog& GroupHost::open(GroupId const& group, BootstrapMembers const& bootstrap, std::string const& folderName, StateMachineHooks hooks)
{
    if (this->dataFolder.empty())
        return *this->disklessLog;
    auto entry = std::make_unique<Group>(this->dataFolder + "/" + folderName, this->events, this->maxFlushPause);
    Membership const initial = this->initialMembership(bootstrap, folderName);
    auto sendOne = [this, group](HostId const& to, std::string const& bytes) { this->send(to, encodeGroupMessage(group, bytes)); };
    entry->log = std::make_unique<ReplicatedLog>(group, this->self, initial, ReplicatedLogTimes(), this->clock, this->random, this->events, entry->storage, sendOne, std::move(hooks));
    entry->log->setFlushCallback([this, group] { this->scheduleFlush(group); });
    return *this->groups.emplace(group, std::move(entry)).first->second->log;
}

Membership GroupHost::initialMembership(BootstrapMembers const& bootstrap, std::string const& folderName) const
{
    DurableFile const file(this->dataFolder + "/bootstrap-" + folderName);
    std::string const stored = file.read();
    if (!stored.empty())
        return decodeMembership(stored);
    Membership initial { bootstrap.voters, {}, bootstrap.eligibleLeaders };
    file.replace(encodeMembership(initial));
    return initial;
}

void GroupHost::start(bool isAlone)
{
    for (auto const& [id, group] : this->groups) {
        if (isAlone) {
            group->log->start();
            group->isServed = true;
        } else {
            this->startGroup(id);
        }
    }
}

void GroupHost::startGroup(GroupId const& group)
{
    Group& entry = *this->groups.at(group);
    entry.startedAt = this->clock.now();
    try {
        entry.log->start();
        entry.isServed = true;
    } catch (Error const& error) {
        entry.startFailure = error.code();
        if (entry.startedAt - entry.startFaultReportedAt < startFaultInterval)
            return;
        entry.startFaultReportedAt = entry.startedAt;
        this->events.emit(Event(EventId::StorageFault).with("group", group).with("code", static_cast<int>(error.code())).with("reason", std::string(error.what())));
    }
}

void GroupHost::startAgainWhenDue(GroupId const& id, Group& group)
{
    bool const isPassing = group.startFailure == ResultCode::StorageFailed || group.startFailure == ResultCode::DiskFull;
    if (isPassing && this->clock.now() - group.startedAt >= startRetryInterval)
        this->startGroup(id);
}

void GroupHost::scheduleFlush(GroupId const& group)
{
    // At the end of the turn, so that all that arrives in it is sent together.
    this->groups.at(group)->flushTimer = this->timers.after(Duration(), [this, group] { this->sendBeforeFlush(group); });
}

/// Messages leave at the end of a turn, and a sync blocks the loop: in this turn they would leave after the sync.
void GroupHost::sendBeforeFlush(GroupId const& group)
{
    Group& entry = *this->groups.at(group);
    entry.log->sendPending();
    entry.flushTimer = this->timers.after(entry.flushPacing.waitAt(this->clock.now()), [this, group] { this->flush(group); });
}

void GroupHost::flush(GroupId const& group)
{
    Group& entry = *this->groups.at(group);
    TimePoint const startedAt = this->clock.now();
    entry.log->flush();
    entry.flushPacing.onFlush(startedAt, this->clock.now());
}

void GroupHost::onMessage(HostId const& from, std::string const& payload)
{
    size_t const nameBytes = payload.empty() ? 0 : static_cast<unsigned char>(payload.front());
    if (payload.size() <= nameBytes)
        return;
    GroupId const group(payload.substr(1, nameBytes));
    if (!this->groups.count(group) && this->onUnknownGroup)
        this->onUnknownGroup(group);
    if (ReplicatedLog* log = this->find(group))
        log->onMessage(from, std::string_view(payload).substr(1 + nameBytes));
}

void GroupHost::onTick()
{
    for (auto const& [id, group] : this->groups) {
        if (group->isServed)
            group->log->onTick();
        else
            this->startAgainWhenDue(id, *group);
    }
}

ReplicatedLog* GroupHost::find(GroupId const& group) const
{
    auto const found = this->groups.find(group);
    return found == this->groups.end() || !found->second->isServed ? nullptr : found->second->log.get();
}

std::vector<GroupId> GroupHost::servedGroups() const
{
    std::vector<GroupId> served;
    for (auto const& [id, group] : this->groups) {
        if (group->isServed)
            served.push_back(id);
    }
    return served;
}

size_t GroupHost::groupsWithoutStorage() const
{
    auto const isWithoutStorage = [](auto const& entry) { return !entry.second->isServed || entry.second->log->hasFailedStorage(); };
    return static_cast<size_t>(std::count_if(this->groups.begin(), this->groups.end(), isWithoutStorage));
}

std::vector<LedGroup> GroupHost::ledGroups() const
{
    std::vector<LedGroup> led;
    for (auto const& [id, group] : this->groups) {
        if (group->isServed && group->log->isLeader())
            led.push_back({ id, group->log->term() });
    }
    return led;
}

void GroupHost::transferLeaderships()
{
    for (auto const& [id, group] : this->groups) {
        if (group->isServed && group->log->isLeader() && group->log->membership().voters.size() > 1)
            group->log->transferLeadership(HostId());
    }
}

} // namespace cornelpond
