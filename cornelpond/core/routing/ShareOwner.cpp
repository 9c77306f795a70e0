#include "cornelpond/core/routing/ShareOwner.h"

#include <algorithm>

namespace cornelpond {

ShareOwner::ShareOwner(std::vector<HostId> hosts, ShareTimes times, Clock const& clock)
    : hosts(std::move(hosts))
    , times(times)
    , clock(clock)
{
}

void ShareOwner::onLeadership(std::optional<Term> givenTerm)
{
    this->term = givenTerm;
    this->since = this->clock.now();
    this->lastGrant = 0;
    this->holders.clear();
}

bool ShareOwner::isSettled() const
{
    if (this->clock.now() >= this->since + this->times.lease + this->times.driftMargin)
        return true;
    return std::all_of(this->hosts.begin(), this->hosts.end(), [this](HostId const& host) {
        auto const found = this->holders.find(host);
        return found != this->holders.end() && found->second.adopted;
    });
}

std::optional<ShareGrant> ShareOwner::onRequest(HostId const& from, ShareRequest const& request, bool isLeadershipConfirmed)
{
    bool const isMember = std::binary_search(this->hosts.begin(), this->hosts.end(), from);
    if (!this->term || !isLeadershipConfirmed || !isMember)
        return std::nullopt;
    this->expire();
    Holder& holder = this->holders[from];
    this->takeReport(holder, request, this->isSettled());
    TimePoint const now = this->clock.now();
    ShareGrant grant { *this->term, ++this->lastGrant, request.incarnation, request.number, this->times.lease, {} };
    for (auto const& report : request.servers) {
        uint32_t const slots = this->decide(from, holder, report);
        grant.servers.push_back({ report.server, slots });
        holder.processes[request.incarnation].given[report.server].push_back({ grant.number, slots, now + this->times.lease + this->times.driftMargin });
    }
    return grant;
}

/// What a process says it holds replaces all grants that it has seen.
void ShareOwner::takeReport(Holder& holder, ShareRequest const& request, bool wasSettled)
{
    TimePoint const now = this->clock.now();
    bool const isAdopted = request.seenTerm == *this->term;
    holder.incarnation = request.incarnation;
    holder.heard = now;
    holder.adopted = holder.adopted || isAdopted;
    holder.wanted.clear();
    auto& given = holder.processes[request.incarnation].given;
    for (auto const& report : request.servers) {
        holder.wanted[report.server] = report.wanted;
        auto& records = given[report.server];
        uint64_t const seen = isAdopted ? request.seenGrant : 0;
        // Attempts in flight end before the latest lease under which they began.
        TimePoint latest = isAdopted ? now : now + this->times.lease + this->times.driftMargin;
        for (auto const& record : records)
            latest = record.grant <= seen ? std::max(latest, record.expires) : latest;
        records.erase(std::remove_if(records.begin(), records.end(), [&](Given const& record) { return record.grant <= seen; }), records.end());
        // A report from an earlier term that comes once others may have been given the slots is no claim to them.
        if (isAdopted || !wasSettled)
            records.push_back({ seen, report.held, latest });
    }
}

void ShareOwner::expire()
{
    TimePoint const now = this->clock.now();
    for (auto& [host, holder] : this->holders) {
        for (auto process = holder.processes.begin(); process != holder.processes.end();) {
            auto& given = process->second.given;
            for (auto server = given.begin(); server != given.end();) {
                auto& records = server->second;
                records.erase(std::remove_if(records.begin(), records.end(), [&](Given const& record) { return now >= record.expires; }), records.end());
                server = records.empty() ? given.erase(server) : std::next(server);
            }
            process = given.empty() ? holder.processes.erase(process) : std::next(process);
        }
    }
}

uint32_t ShareOwner::outstanding(Holder const& holder, uint64_t incarnation, BackendServerId const& server) const
{
    auto const process = holder.processes.find(incarnation);
    if (process == holder.processes.end())
        return 0;
    auto const records = process->second.given.find(server);
    uint32_t most = 0;
    if (records != process->second.given.end()) {
        for (auto const& record : records->second)
            most = std::max(most, record.slots);
    }
    return most;
}

uint32_t ShareOwner::outstanding(BackendServerId const& server) const
{
    uint32_t sum = 0;
    for (auto const& [host, holder] : this->holders) {
        for (auto const& [incarnation, process] : holder.processes)
            sum += this->outstanding(holder, incarnation, server);
    }
    return sum;
}

uint32_t ShareOwner::leasable(BackendServerId const& server, uint32_t slots) const
{
    uint32_t floors = 0;
    for (auto const& host : this->hosts)
        floors += floorOf(server, slots, host, { this->hosts.data(), this->hosts.size() });
    return slots - std::min(slots, floors);
}

/// One slot after the other to the host with the fewest that still wants one; what nobody wants is
/// spread, so that a host's next request need not ask first.
uint32_t ShareOwner::target(HostId const& host, ShareReport const& report) const
{
    TimePoint const now = this->clock.now();
    std::map<HostId, uint32_t> assigned;
    std::map<HostId, uint32_t> wanted;
    for (auto const& [other, holder] : this->holders) {
        if (now - holder.heard > this->times.silentAfter)
            continue;
        auto const found = holder.wanted.find(report.server);
        wanted[other] = found == holder.wanted.end() ? 0 : found->second;
        assigned[other] = 0;
    }
    auto const isLess = [&](auto const& left, auto const& right) {
        bool const leftWants = left.second < wanted.at(left.first);
        bool const rightWants = right.second < wanted.at(right.first);
        return leftWants != rightWants ? leftWants : left.second < right.second;
    };
    for (uint32_t left = this->leasable(report.server, report.slots); left && !assigned.empty(); left--)
        std::min_element(assigned.begin(), assigned.end(), isLess)->second++;
    return assigned[host];
}

uint32_t ShareOwner::decide(HostId const& host, Holder const& holder, ShareReport const& report) const
{
    uint32_t const own = this->outstanding(holder, holder.incarnation, report.server);
    if (!this->isSettled())
        return std::min(own, report.held);
    uint32_t const given = this->outstanding(report.server);
    uint32_t const limit = this->leasable(report.server, report.slots);
    uint32_t const free = limit - std::min(limit, given);
    return std::min(this->target(host, report), own + free);
}

} // namespace cornelpond
