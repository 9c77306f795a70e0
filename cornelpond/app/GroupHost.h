#pragma once

// The replicated logs that run on one host, by group, and the messages between them.
//
// Example:
//   GroupHost groups(loop, loop, random, events, self, folder, send);
//   CommandLog& log = groups.open(configGroupId(), members, "config", machines.hooks());
//   groups.start();
//
// Loop thread only. Open a group before its messages arrive; a group that is not open is offered to the
// handler for unknown groups.

#include "cornelpond/adapters/journal/JournalStorage.h"
#include "cornelpond/core/agreement/ReplicatedLog.h"
#include "cornelpond/core/membership/GroupPlan.h"
#include "cornelpond/core/membership/HostReport.h"
#include "cornelpond/ports/Timers.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cornelpond {

class GroupHost {
public:
    using Send = std::function<void(HostId const& to, std::string payload)>;

    /// References must outlive the object. `dataFolder` is empty for a host without a disk.
    /// A log that is idle syncs at once; a busy one at intervals that FlushPacing bounds, with pauses of `maxFlushPause` at most,
    /// and entries that arrive in between share the next sync.
    GroupHost(Clock const& clock, Timers& timers, Random& random, EventSink& events, HostId self, std::string dataFolder, Duration maxFlushPause, Send send);
    ~GroupHost();
    GroupHost(GroupHost const&) = delete;
    GroupHost& operator=(GroupHost const&) = delete;

    /// Keeps the group's log in `folderName` below the data folder. `bootstrap` is stored at the first start and
    /// ignored later, when the settings may name other hosts. Without a disk the returned log never leads and
    /// reports no leader. The log is owned by this object.
    CommandLog& open(GroupId const& group, BootstrapMembers const& bootstrap, std::string const& folderName, StateMachineHooks hooks);

    /// Starts the opened logs from their storage. A group whose storage cannot be read is reported as an event
    /// and not served; with `isAlone`, for a host without peers, the Error is thrown instead.
    void start(bool isAlone);

    /// Called for a message of a group that is not open; it may open and start the group.
    void setUnknownGroupHandler(std::function<void(GroupId const&)> handler) { this->onUnknownGroup = std::move(handler); }

    /// A group whose storage cannot be read is not served; it is tried again at an interval, unless the storage is
    /// damaged.
    void startGroup(GroupId const& group);

    /// Drops a message that does not decode.
    void onMessage(HostId const& from, std::string const& payload);
    void onTick();

    /// Null when the group is not open here or is not served.
    ReplicatedLog* find(GroupId const& group) const;

    std::vector<GroupId> servedGroups() const;

    /// The groups opened here in which this host takes no part because its storage failed.
    size_t groupsWithoutStorage() const;

    /// The groups whose established leader is this host, with their terms.
    std::vector<LedGroup> ledGroups() const;

    /// Starts to hand over the leadership of every group that has another voter.
    void transferLeaderships();

private:
    struct Group;
    class DisklessLog;

    void startAgainWhenDue(GroupId const& id, Group& group);
    void flush(GroupId const& group);
    void scheduleFlush(GroupId const& group);
    void sendBeforeFlush(GroupId const& group);
    Membership initialMembership(BootstrapMembers const& bootstrap, std::string const& folderName) const;

    Clock const& clock;
    Timers& timers;
    Random& random;
    EventSink& events;
    HostId self;
    std::string dataFolder;
    Duration maxFlushPause;
    Send send;
    std::map<GroupId, std::unique_ptr<Group>> groups;
    std::unique_ptr<DisklessLog> disklessLog;
    std::function<void(GroupId const&)> onUnknownGroup;
};

} // namespace cornelpond
