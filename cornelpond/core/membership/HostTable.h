#pragma once

// The state of every entry host as this one sees it: a failure detector over the hosts' reports that
// adapts to how evenly they arrive.
//
// Example:
//   HostTable table(HostTableTimes(), [](HostChange const& change) { emit(change); });
//   table.add(HostId("h2"), DataCentreId("north"));
//   table.onReport(HostId("h2"), report, clock.now());
//   table.onTick(clock.now());
//
// A host is suspect when its report is overdue far beyond the usual spread of its intervals, and gone
// when it stays so. A host that said that it leaves is gone as soon as its link is down. Loop thread only.

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/membership/HostReport.h"

#include <functional>
#include <map>
#include <string_view>

namespace cornelpond {

enum class HostState {
    Unseen, ///< In the settings, never heard.
    Alive,
    Suspect,
    Leaving,
    Gone,
};

std::string_view hostStateName(HostState state);

struct HostTableTimes {
    Duration expectedInterval = Duration::milliseconds(500); ///< Before any interval was seen.
    Duration suspectAfterMin = Duration::seconds(2);
    Duration suspectAfterMax = Duration::seconds(10);
    int64_t suspectAfterDeviations = 8;
    Duration goneAfter = Duration::seconds(30); ///< In suspicion.
    Duration rejoinAfter = Duration::seconds(2); ///< A gone host must report for so long to be alive again.
};

struct HostChange {
    HostId host;
    HostState from = HostState::Unseen;
    HostState to = HostState::Unseen;
    bool isNewProcess = false; ///< The host restarted.
};

/// What is known of one host.
struct KnownHost {
    DataCentreId dataCentre;
    HostState state = HostState::Unseen;
    HostReport report; ///< The last one.
    TimePoint lastReportAt;
    TimePoint stateSince;
    TimePoint reportingSince; ///< Start of the present unbroken run of reports.
    Duration meanInterval;
    Duration intervalDeviation; ///< Mean absolute deviation of the intervals.
    bool isLinkUp = false;
};

class HostTable {
public:
    using OnChange = std::function<void(HostChange const&)>;

    HostTable(HostTableTimes times, OnChange onChange);

    /// Does nothing for a host that is known in that data centre.
    void add(HostId const& host, DataCentreId const& dataCentre, TimePoint now);
    void remove(HostId const& host) { this->hosts.erase(host); }

    /// Reports of unknown hosts are ignored.
    void onReport(HostId const& host, HostReport const& report, TimePoint now);
    void onLink(HostId const& host, bool isUp, TimePoint now);

    /// Call about every 100 ms.
    void onTick(TimePoint now);

    std::map<HostId, KnownHost> const& all() const { return this->hosts; }
    KnownHost const* find(HostId const& host) const;

    /// How long a report may be overdue before the host is suspect.
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
