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

/// What a process says it holds replaces all grants that it has seen.
void SlotShareOwner::recordReport(Holder& holder, SlotShareRequest const& request, bool wasSettled)
{
    TimePoint const now = this->clock.now();
    bool const isAdopted = request.lastGrantTerm == *this->term;
    holder.incarnation = request.incarnation;
    holder.lastRequestAt = now;
    holder.hasAdoptedTerm = holder.hasAdoptedTerm || isAdopted;
    holder.wantedSlots.clear();
    auto& given = holder.processes[request.incarnation].outstandingGrants;
    for (auto const& report : request.servers) {
        holder.wantedSlots[report.server] = report.wantedSlots;
        auto& records = given[report.server];
        uint64_t const seen = isAdopted ? request.lastGrantNumber : 0;
        // Attempts in flight end before the latest lease under which they began.
        TimePoint latest = isAdopted ? now : now + this->times.lease + this->times.driftMargin;
        for (auto const& record : records)
            latest = record.grantNumber <= seen ? std::max(latest, record.expiresAt) : latest;
        records.erase(std::remove_if(records.begin(), records.end(), [&](OutstandingGrant const& record) { return record.grantNumber <= seen; }), records.end());
        // A report from an earlier term that comes once others may have been given the slots is no claim to them.
        if (isAdopted || !wasSettled)
            records.push_back({ seen, report.heldSlots, latest });
    }
}

void SlotShareOwner::expire()
{
    TimePoint const now = this->clock.now();
    for (auto& [host, holder] : this->holders) {
        for (auto process = holder.processes.begin(); process != holder.processes.end();) {
            auto& given = process->second.outstandingGrants;
            for (auto server = given.begin(); server != given.end();) {
                auto& records = server->second;
                records.erase(std::remove_if(records.begin(), records.end(), [&](OutstandingGrant const& record) { return now >= record.expiresAt; }), records.end());
                server = records.empty() ? given.erase(server) : std::next(server);
            }
            process = given.empty() ? holder.processes.erase(process) : std::next(process);
        }
    }
}

uint32_t SlotShareOwner::outstandingSlots(Holder const& holder, uint64_t incarnation, BackendServerId const& server) const
{
    auto const process = holder.processes.find(incarnation);
    if (process == holder.processes.end())
        return 0;
    auto const records = process->second.outstandingGrants.find(server);
    uint32_t most = 0;
    if (records != process->second.outstandingGrants.end()) {
        for (auto const& record : records->second)
            most = std::max(most, record.slots);
    }
    return most;
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
    uint32_t floors = 0;
    for (auto const& host : this->hosts)
        floors += guaranteedSlots(server, slots, host, { this->hosts.data(), this->hosts.size() });
    return slots - std::min(slots, floors);
}

/// One slot after the other to the host with the fewest that still wants one; what nobody wants is
/// spread, so that a host's next request need not ask first.
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
    auto const isLess = [&](auto const& left, auto const& right) {
        bool const leftWants = left.second < wanted.at(left.first);
        bool const rightWants = right.second < wanted.at(right.first);
        return leftWants != rightWants ? leftWants : left.second < right.second;
    };
    for (uint32_t left = this->leasableSlots(report.server, report.slots); left && !assigned.empty(); left--)
        std::min_element(assigned.begin(), assigned.end(), isLess)->second++;
    return assigned[host];
}

uint32_t SlotShareOwner::slotsToGrant(HostId const& host, Holder const& holder, SlotShareReport const& report) const
{
    uint32_t const own = this->outstandingSlots(holder, holder.incarnation, report.server);
    if (!this->canRaiseShares())
        return std::min(own, report.heldSlots);
    uint32_t const given = this->outstandingSlots(report.server);
    uint32_t const limit = this->leasableSlots(report.server, report.slots);
    uint32_t const free = limit - std::min(limit, given);
    return std::min(this->targetSlots(host, report), own + free);
}

} // namespace cornelpond
