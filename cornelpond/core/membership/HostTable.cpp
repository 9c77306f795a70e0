#include "cornelpond/core/membership/HostTable.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr int64_t smoothingDivisor = 8; ///< Each new interval has a weight of one eighth in the moving averages.

    Duration distance(Duration left, Duration right)
    {
        return left < right ? right - left : left - right;
    }

    Duration smoothed(Duration mean, Duration value)
    {
        return mean + (value - mean) / smoothingDivisor;
    }

} // namespace

std::string_view hostStateName(HostState state)
{
    switch (state) {
    case HostState::Unseen:
        return "unseen";
    case HostState::Alive:
        return "alive";
    case HostState::Suspect:
        return "suspect";
    case HostState::Leaving:
        return "leaving";
    case HostState::Gone:
        return "gone";
    }
    return "";
}

HostTable::HostTable(HostTableTimes times, OnChange onChange)
    : times(times)
    , onChange(std::move(onChange))
{
}

void HostTable::add(HostId const& host, DataCentreId const& dataCentre, TimePoint now)
{
    KnownHost& known = this->hosts[host];
    if (known.dataCentre == dataCentre)
        return;
    known.dataCentre = dataCentre;
    known.stateSince = now;
    known.meanInterval = this->times.expectedInterval;
}

KnownHost const* HostTable::find(HostId const& host) const
{
    auto const found = this->hosts.find(host);
    return found == this->hosts.end() ? nullptr : &found->second;
}

Duration HostTable::suspectAfter(KnownHost const& host) const
{
    Duration const adapted = host.meanInterval * 2 + host.intervalDeviation * this->times.suspectAfterDeviations;
    return std::min(std::max(adapted, this->times.suspectAfterMin), this->times.suspectAfterMax);
}

void HostTable::onReport(HostId const& host, HostReport const& report, TimePoint now)
{
    auto const found = this->hosts.find(host);
    if (found == this->hosts.end())
        return;
    KnownHost& known = found->second;
    bool const isNewProcess = known.state != HostState::Unseen && known.report.incarnation != report.incarnation;
    if (known.state == HostState::Unseen || known.state == HostState::Gone || isNewProcess) {
        if (isNewProcess || now - known.lastReportAt > this->suspectAfter(known))
            known.reportingSince = now;
    } else {
        this->observeInterval(known, now);
    }
    known.lastReportAt = now;
    known.report = report;
    HostState const next = this->stateAfterReport(known, now);
    if (next != known.state || isNewProcess)
        this->setState(host, known, next, now, isNewProcess);
}

/// The deviation grows with each late report, so that a host behind a link that stalls now and then gets a
/// longer timeout. The interval that made a host suspect is counted as well, up to suspectAfterMax.
void HostTable::observeInterval(KnownHost& host, TimePoint now) const
{
    Duration const interval = std::min(now - host.lastReportAt, this->times.suspectAfterMax);
    host.intervalDeviation = smoothed(host.intervalDeviation, distance(interval, host.meanInterval));
    host.meanInterval = smoothed(host.meanInterval, interval);
}

HostState HostTable::stateAfterReport(KnownHost const& host, TimePoint now) const
{
    if (host.report.isLeaving)
        return HostState::Leaving;
    bool const isOnProbation = host.state == HostState::Gone && now - host.reportingSince < this->times.rejoinAfter;
    return isOnProbation ? HostState::Gone : HostState::Alive;
}

void HostTable::onLink(HostId const& host, bool isUp, TimePoint now)
{
    auto const found = this->hosts.find(host);
    if (found == this->hosts.end())
        return;
    KnownHost& known = found->second;
    known.isLinkUp = isUp;
    if (!isUp && known.state == HostState::Leaving)
        this->setState(host, known, HostState::Gone, now);
}

void HostTable::onTick(TimePoint now)
{
    for (auto& [id, host] : this->hosts) {
        bool const isOverdue = now - host.lastReportAt > this->suspectAfter(host);
        bool const isWithoutReports = host.state == HostState::Suspect || host.state == HostState::Unseen;
        bool const isGone = (host.state == HostState::Leaving && isOverdue) || (isWithoutReports && now - host.stateSince > this->times.goneAfter);
        if (isGone)
            this->setState(id, host, HostState::Gone, now);
        else if (host.state == HostState::Alive && isOverdue)
            this->setState(id, host, HostState::Suspect, now);
    }
}

void HostTable::setState(HostId const& id, KnownHost& host, HostState to, TimePoint now, bool isNewProcess)
{
    HostChange const change { id, host.state, to, isNewProcess };
    if (host.state != to)
        host.stateSince = now;
    host.state = to;
    this->onChange(change);
}

} // namespace cornelpond
