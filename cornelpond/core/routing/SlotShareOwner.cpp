#include "cornelpond/core/routing/SlotShareOwner.h"

#include <algorithm>

namespace cornelpond {

SlotShareOwner::SlotShareOwner(std::vector<HostId> hosts, SlotShareTimes times, Clock const& clock)
    : hosts(std::move(hosts))
    , times(times)
    , clock(clock)
{
}

void SlotShareOwner::onLeadership(std::optional<Term> givenTerm)
{
    this->term = givenTerm;
    this->leadingSince = this->clock.now();
    this->lastGrantNumber = 0;
    this->holders.clear();
}

bool SlotShareOwner::canRaiseShares() const
{
    if (this->clock.now() >= this->leadingSince + this->times.lease + this->times.driftMargin)
        return true;
    return std::all_of(this->hosts.begin(), this->hosts.end(), [this](HostId const& host) {
        auto const found = this->holders.find(host);
        return found != this->holders.end() && found->second.hasAdoptedTerm;
    });
}

std::optional<SlotShareGrant> SlotShareOwner::onRequest(HostId const& from, SlotShareRequest const& request, bool isLeadershipConfirmed)
{
    bool const isMember = std::binary_search(this->hosts.begin(), this->hosts.end(), from);
    if (!this->term || !isLeadershipConfirmed || !isMember)
        return std::nullopt;
    this->expire();
    Holder& holder = this->holders[from];
    this->recordReport(holder, request, this->canRaiseShares());
    TimePoint const now = this->clock.now();
    SlotShareGrant grant { *this->term, ++this->lastGrantNumber, request.incarnation, request.requestNumber, this->times.lease, {} };
    for (auto const& report : request.servers) {
        uint32_t const slots = this->slotsToGrant(from, holder, report);
        grant.servers.push_back({ report.server, slots });
        holder.processes[request.incarnation].outstandingGrants[report.server].push_back({ grant.grantNumber, slots, now + this->times.lease + this->times.driftMargin });
    }
    return grant;
}

/// Replaces all grants that the process has applied by the slots that it reports as held.
void SlotShareOwner::recordReport(Holder& holder, SlotShareRequest const& request, bool couldRaiseShares)
{
    TimePoint const now = this->clock.now();
    bool const isOfCurrentTerm = request.lastGrantTerm == *this->term;
    holder.incarnation = request.incarnation;
    holder.lastRequestAt = now;
    holder.hasAdoptedTerm = holder.hasAdoptedTerm || isOfCurrentTerm;
    holder.wantedSlots.clear();
    auto& grantsByServer = holder.processes[request.incarnation].outstandingGrants;
    for (auto const& report : request.servers) {
        holder.wantedSlots[report.server] = report.wantedSlots;
        auto& grants = grantsByServer[report.server];
        uint64_t const appliedGrantNumber = isOfCurrentTerm ? request.lastGrantNumber : 0;
        // An attempt in flight ends before the latest lease under which it may have started.
        TimePoint latestExpiry = isOfCurrentTerm ? now : now + this->times.lease + this->times.driftMargin;
        for (auto const& grant : grants)
            latestExpiry = grant.grantNumber <= appliedGrantNumber ? std::max(latestExpiry, grant.expiresAt) : latestExpiry;
        grants.erase(std::remove_if(grants.begin(), grants.end(), [&](OutstandingGrant const& grant) { return grant.grantNumber <= appliedGrantNumber; }), grants.end());
        // A report under an earlier term is ignored once shares may have been raised: other hosts may hold those slots.
        if (isOfCurrentTerm || !couldRaiseShares)
            grants.push_back({ appliedGrantNumber, report.heldSlots, latestExpiry });
    }
}

void SlotShareOwner::expire()
{
    TimePoint const now = this->clock.now();
    for (auto& [host, holder] : this->holders) {
        for (auto process = holder.processes.begin(); process != holder.processes.end();) {
            auto& grantsByServer = process->second.outstandingGrants;
            for (auto server = grantsByServer.begin(); server != grantsByServer.end();) {
                auto& grants = server->second;
                grants.erase(std::remove_if(grants.begin(), grants.end(), [&](OutstandingGrant const& grant) { return now >= grant.expiresAt; }), grants.end());
                server = grants.empty() ? grantsByServer.erase(server) : std::next(server);
            }
            process = grantsByServer.empty() ? holder.processes.erase(process) : std::next(process);
        }
    }
}

uint32_t SlotShareOwner::outstandingSlots(Holder const& holder, uint64_t incarnation, BackendServerId const& server) const
{
    auto const process = holder.processes.find(incarnation);
    if (process == holder.processes.end())
        return 0;
    auto const grants = process->second.outstandingGrants.find(server);
    uint32_t maxSlots = 0;
    if (grants != process->second.outstandingGrants.end()) {
        for (auto const& grant : grants->second)
            maxSlots = std::max(maxSlots, grant.slots);
    }
    return maxSlots;
}

uint32_t SlotShareOwner::outstandingSlots(BackendServerId const& server) const
{
    uint32_t sum = 0;
    for (auto const& [host, holder] : this->holders) {
        for (auto const& [incarnation, process] : holder.processes)
            sum += this->outstandingSlots(holder, incarnation, server);
    }
    return sum;
}

uint32_t SlotShareOwner::leasableSlots(BackendServerId const& server, uint32_t slots) const
{
    uint32_t guaranteed = 0;
    for (auto const& host : this->hosts)
        guaranteed += guaranteedSlots(server, slots, host, { this->hosts.data(), this->hosts.size() });
    return slots - std::min(slots, guaranteed);
}

/// Assigns the leasable slots one by one, each to the host with the fewest among those that want more. Slots
/// that no host wants go to those with the fewest too, so that a host's next request need not wait for a grant.
uint32_t SlotShareOwner::targetSlots(HostId const& host, SlotShareReport const& report) const
{
    TimePoint const now = this->clock.now();
    std::map<HostId, uint32_t> assigned;
    std::map<HostId, uint32_t> wanted;
    for (auto const& [other, holder] : this->holders) {
        if (now - holder.lastRequestAt > this->times.silentAfter)
            continue;
        auto const found = holder.wantedSlots.find(report.server);
        wanted[other] = found == holder.wantedSlots.end() ? 0 : found->second;
        assigned[other] = 0;
    }
    auto const isNext = [&](auto const& left, auto const& right) {
        bool const leftWants = left.second < wanted.at(left.first);
        bool const rightWants = right.second < wanted.at(right.first);
        return leftWants != rightWants ? leftWants : left.second < right.second;
    };
    for (uint32_t unassigned = this->leasableSlots(report.server, report.slots); unassigned && !assigned.empty(); unassigned--)
        std::min_element(assigned.begin(), assigned.end(), isNext)->second++;
    return assigned[host];
}

uint32_t SlotShareOwner::slotsToGrant(HostId const& host, Holder const& holder, SlotShareReport const& report) const
{
    uint32_t const own = this->outstandingSlots(holder, holder.incarnation, report.server);
    if (!this->canRaiseShares())
        return std::min(own, report.heldSlots);
    uint32_t const outstanding = this->outstandingSlots(report.server);
    uint32_t const limit = this->leasableSlots(report.server, report.slots);
    uint32_t const free = limit - std::min(limit, outstanding);
    return std::min(this->targetSlots(host, report), own + free);
}

} // namespace cornelpond
