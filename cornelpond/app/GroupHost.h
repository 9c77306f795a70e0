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
    /// Between two syncs of one log at least `flushInterval` passes: what arrives meanwhile shares the next.
    GroupHost(Clock const& clock, Timers& timers, Random& random, EventSink& events, HostId self, std::string dataFolder, Duration flushInterval, Send send);
    ~GroupHost();
    GroupHost(GroupHost const&) = delete;
    GroupHost& operator=(GroupHost const&) = delete;

    /// Keeps the group's log in `folderName` below the data folder. The bootstrap of the first start counts
    /// for good: later settings name other hosts and must not change it. Without a disk the log never leads
    /// and knows no leader. The log lives as long as this object.
    CommandLog& open(GroupId const& group, BootstrapMembers const& bootstrap, std::string const& folderName, StateMachineHooks hooks);

    /// Reads the opened logs. A group whose storage cannot be read is reported and not served; with
    /// `isAlone` the error is thrown.
    void start(bool isAlone);

    /// Called for a message of a group that is not open; it may open and start the group.
    void setUnknownGroupHandler(std::function<void(GroupId const&)> handler) { this->onUnknownGroup = std::move(handler); }
    void startGroup(GroupId const& group);

    /// Drops what does not decode.
    void onMessage(HostId const& from, std::string const& payload);
    void onTick();

    /// Null when the group is not open here or is not served.
    ReplicatedLog* find(GroupId const& group) const;

    std::vector<GroupId> servedGroups() const;

    /// Groups whose established leader is this host.
    std::vector<LedGroup> ledGroups() const;

    /// Hands over the leadership of every group that has another host to lead it.
    void transferLeaderships();

private:
    struct Group;
    class DisklessLog;

    void flush(GroupId const& group);
    void scheduleFlush(GroupId const& group);
    Membership initialMembership(BootstrapMembers const& bootstrap, std::string const& folderName) const;

    Clock const& clock;
    Timers& timers;
    Random& random;
    EventSink& events;
    HostId self;
    std::string dataFolder;
    Duration flushInterval;
    Send send;
    std::map<GroupId, std::unique_ptr<Group>> groups;
    std::unique_ptr<DisklessLog> disklessLog;
    std::function<void(GroupId const&)> onUnknownGroup;
};

} // namespace cornelpond
