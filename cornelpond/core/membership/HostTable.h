#pragma once

// The state of every entry host as this host sees it: a failure detector on the hosts' reports, whose
// timeout adapts to the mean and the spread of the intervals between them.
//
// Example:
//   HostTable table(HostTableTimes(), [](HostChange const& change) { emit(change); });
//   table.add(HostId("h2"), DataCentreId("north"), clock.now());
//   table.onReport(HostId("h2"), report, clock.now());
//   table.onTick(clock.now());
//
// A host is suspect when its next report is overdue by far more than the usual spread of its intervals, and
// gone when it stays suspect. A host that reported that it leaves is gone as soon as its link is down or its
// next report is overdue. Loop thread only.

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/membership/HostReport.h"

#include <functional>
#include <map>
#include <string_view>

namespace cornelpond {

enum class HostState {
    Unseen, ///< Added to the table, but no report has come yet.
    Alive,
    Suspect,
    Leaving, ///< Its last report said that it is shutting down.
    Gone,
};

std::string_view hostStateName(HostState state);

struct HostTableTimes {
    Duration expectedInterval = Duration::milliseconds(500); ///< The mean before the first interval was measured.
    Duration suspectAfterMin = Duration::seconds(2); ///< Lower bound of the time without a report until a host is suspect.
    Duration suspectAfterMax = Duration::seconds(10); ///< Upper bound.
    int64_t suspectAfterDeviations = 8; ///< Added to twice the mean interval, in mean absolute deviations.
    Duration goneAfter = Duration::seconds(30); ///< Time as suspect, or without any report, until a host is gone.
    Duration rejoinAfter = Duration::seconds(2); ///< A gone host must report this long without a gap to be alive again.
};

struct HostChange {
    HostId host;
    HostState from = HostState::Unseen;
    HostState to = HostState::Unseen;
    bool isNewProcess = false; ///< The report came from another process than the last one: the host restarted.
};

/// The table's entry for one host.
struct KnownHost {
    DataCentreId dataCentre;
    HostState state = HostState::Unseen;
    HostReport report; ///< The latest one.
    TimePoint lastReportAt;
    TimePoint stateSince;
    TimePoint reportingSince; ///< Start of the current sequence of reports without a gap.
    Duration meanInterval;
    Duration intervalDeviation; ///< Mean absolute deviation of the intervals.
    bool isLinkUp = false;
};

class HostTable {
public:
    using OnChange = std::function<void(HostChange const&)>;

    HostTable(HostTableTimes times, OnChange onChange);

    /// Adds a host, or moves it to another data centre.
    void add(HostId const& host, DataCentreId const& dataCentre, TimePoint now);
    void remove(HostId const& host) { this->hosts.erase(host); }

    /// Ignores reports of hosts that were not added.
    void onReport(HostId const& host, HostReport const& report, TimePoint now);
    void onLink(HostId const& host, bool isUp, TimePoint now);

    /// Marks overdue hosts as suspect or gone. To be called about every 100 ms.
    void onTick(TimePoint now);

    std::map<HostId, KnownHost> const& all() const { return this->hosts; }
    KnownHost const* find(HostId const& host) const;

    /// How long after its last report the host becomes suspect.
    Duration suspectAfter(KnownHost const& host) const;

private:
    void observeInterval(KnownHost& host, TimePoint now) const;
    HostState stateAfterReport(KnownHost const& host, TimePoint now) const;
    void setState(HostId const& id, KnownHost& host, HostState to, TimePoint now, bool isNewProcess = false);

    HostTableTimes times;
    OnChange onChange;
    std::map<HostId, KnownHost> hosts;
};

} // namespace cornelpond
