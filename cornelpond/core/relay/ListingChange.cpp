#include "cornelpond/core/relay/ListingChange.h"

#include "cornelpond/core/base/ResultCode.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace cornelpond {

namespace {

    using RowKey = std::pair<TaskRef, AttemptNumber>;

    RowKey keyOf(ListedAttempt const& row)
    {
        return { row.task, row.attempt };
    }

    bool hasSameFigures(ListedAttempt const& a, ListedAttempt const& b)
    {
        return a.progressPercent == b.progressPercent && a.latencyMsOrMilliCores == b.latencyMsOrMilliCores && a.checkpoint == b.checkpoint;
    }

    ListedFigures figuresOf(ListedAttempt const& row, ListedAttempt const& before, uint64_t index)
    {
        ListedFigures figures;
        figures.index = index;
        if (row.checkpoint != before.checkpoint)
            figures.checkpoint = row.checkpoint;
        figures.progressPercent = row.progressPercent;
        figures.latencyMsOrMilliCores = row.latencyMsOrMilliCores;
        return figures;
    }

    ListedAttempt& rowAt(WorkerListing& listing, uint64_t index)
    {
        if (index >= listing.running.size())
            throw Error(ResultCode::MalformedMessage, "a change of a row that the listing does not have");
        return listing.running[index];
    }

    void removeRows(WorkerListing& listing, std::vector<uint64_t> const& indices)
    {
        if (indices.empty())
            return;
        rowAt(listing, indices.front());
        auto nextRemoved = indices.begin();
        auto kept = listing.running.begin() + static_cast<ptrdiff_t>(indices.front());
        for (uint64_t index = indices.front(); index < listing.running.size(); index++) {
            if (nextRemoved != indices.end() && *nextRemoved == index)
                ++nextRemoved;
            else
                *kept++ = std::move(listing.running[index]);
        }
        if (nextRemoved != indices.end())
            throw Error(ResultCode::MalformedMessage, "removed rows that the listing does not have, or not in increasing order");
        listing.running.erase(kept, listing.running.end());
    }

} // namespace

std::optional<ListingChange> listingChange(WorkerListing const& before, WorkerListing const& after)
{
    if (before.bornMs != after.bornMs)
        return std::nullopt;
    std::map<RowKey, ListedAttempt const*> current;
    for (auto const& row : after.running)
        current.emplace(keyOf(row), &row);
    if (current.size() != after.running.size())
        return std::nullopt;
    ListingChange change;
    change.ended = after.ended;
    change.isComplete = after.isComplete;
    for (uint64_t index = 0; index < before.running.size(); index++) {
        ListedAttempt const& row = before.running[index];
        auto const found = current.find(keyOf(row));
        if (found == current.end()) {
            change.removed.push_back(index);
            continue;
        }
        if (!hasSameFigures(*found->second, row))
            change.changed.push_back(figuresOf(*found->second, row, index));
        current.erase(found); // A second row of the same attempt in `before` counts as removed.
    }
    for (auto const& row : after.running) {
        if (current.count(keyOf(row)))
            change.added.push_back(row);
    }
    return change;
}

void applyListingChange(WorkerListing& listing, ListingChange change)
{
    for (auto& figures : change.changed) {
        ListedAttempt& row = rowAt(listing, figures.index);
        if (figures.checkpoint)
            row.checkpoint = std::move(*figures.checkpoint);
        row.progressPercent = figures.progressPercent;
        row.latencyMsOrMilliCores = figures.latencyMsOrMilliCores;
    }
    removeRows(listing, change.removed);
    std::move(change.added.begin(), change.added.end(), std::back_inserter(listing.running));
    listing.ended = std::move(change.ended);
    listing.isComplete = change.isComplete;
}

ListingMemory::Entry* ListingMemory::find(WorkerId const& worker, HostId const& host)
{
    auto const found = this->entries.find(worker);
    return found == this->entries.end() || found->second.host != host ? nullptr : &found->second;
}

ListingMemory::Entry& ListingMemory::remember(WorkerId const& worker, Entry entry)
{
    return this->entries.insert_or_assign(worker, std::move(entry)).first->second;
}

void ListingMemory::forgetOlderThan(TimePoint time)
{
    for (auto at = this->entries.begin(); at != this->entries.end();)
        at = at->second.rememberedAt < time ? this->entries.erase(at) : std::next(at);
}

} // namespace cornelpond
