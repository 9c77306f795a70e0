#include "cornelpond/core/agreement/EntryLog.h"

#include <algorithm>

namespace cornelpond {

EntryLog::EntryLog(StoredLog stored, Membership initial)
{
    if (stored.snapshot.lastIndex > LogIndex(0))
        initial = decodeMembership(stored.snapshot.membership);
    this->reset(stored.snapshot.lastIndex, stored.snapshot.lastTerm, std::move(initial));
    for (auto& entry : stored.entries)
        this->append(std::move(entry));
}

Term EntryLog::termAt(LogIndex index) const
{
    return index == this->base ? this->baseTerm : this->at(index).term;
}

LogEntry const& EntryLog::at(LogIndex index) const
{
    return this->entries[index.value() - this->base.value() - 1];
}

std::vector<LogEntry> EntryLog::slice(LogIndex first, size_t maxBytes) const
{
    std::vector<LogEntry> result;
    size_t taken = 0;
    for (LogIndex index = first; index <= this->lastIndex(); index = index.next()) {
        LogEntry const& entry = this->at(index);
        taken += entry.payload.size();
        if (!result.empty() && taken > maxBytes)
            break;
        result.push_back(entry);
    }
    return result;
}

LogIndex EntryLog::firstOfTermAt(LogIndex index) const
{
    Term const term = this->termAt(index);
    while (index > this->base.next() && this->termAt(LogIndex(index.value() - 1)) == term)
        index = LogIndex(index.value() - 1);
    return index;
}

void EntryLog::append(LogEntry entry)
{
    if (entry.kind == EntryKind::Membership)
        this->memberships.push_back({ entry.index, decodeMembership(entry.payload) });
    this->bytes += entry.payload.size();
    this->entries.push_back(std::move(entry));
}

void EntryLog::truncateFrom(LogIndex index)
{
    while (this->lastIndex() >= index && !this->entries.empty()) {
        this->bytes -= this->entries.back().payload.size();
        this->entries.pop_back();
    }
    while (this->memberships.size() > 1 && this->memberships.back().index >= index)
        this->memberships.pop_back();
}

void EntryLog::compactTo(LogIndex index)
{
    if (index <= this->base)
        return;
    this->baseTerm = this->termAt(index);
    while (this->base < index) {
        this->bytes -= this->entries.front().payload.size();
        this->entries.pop_front();
        this->base = this->base.next();
    }
    while (this->memberships.size() > 1 && this->memberships[1].index <= index)
        this->memberships.erase(this->memberships.begin());
}

void EntryLog::reset(LogIndex index, Term term, Membership membership)
{
    this->base = index;
    this->baseTerm = term;
    this->entries.clear();
    this->bytes = 0;
    this->memberships.assign(1, { index, std::move(membership) });
}

Membership const& EntryLog::membershipAt(LogIndex index) const
{
    auto const after = std::find_if(this->memberships.begin() + 1, this->memberships.end(), [&](auto const& point) { return point.index > index; });
    return (after - 1)->membership;
}

} // namespace cornelpond
