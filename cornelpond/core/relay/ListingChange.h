#pragma once

// The difference between two listings of a worker, so that a relay need not send its leader again what it listed before.
//
// Example:
//   if (std::optional<ListingChange> const change = listingChange(sent, current))
//       send(*change);
//   // on the leader:
//   applyListingChange(held, std::move(change)); // `held` now equals `current`, except for the order of its rows
//
// Designed for: some twenty rows in each listing, three listings a second for each of hundreds of workers, of which an
// end or two and the figures of running attempts are new.

#include "cornelpond/core/base/Ids.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/WorkerOrders.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelpond {

/// New figures of a row that both listings contain.
struct ListedFigures {
    uint64_t index = 0; ///< Of the row in the earlier listing.
    std::optional<std::string> checkpoint = std::nullopt; ///< Unset: unchanged.
    unsigned progressPercent = 0;
    int64_t latencyMsOrMilliCores = -1;
};

struct ListingChange {
    std::vector<ListedFigures> changed; ///< By increasing index.
    std::vector<uint64_t> removed; ///< Indices of rows of the earlier listing, increasing.
    std::vector<ListedAttempt> added; ///< Follow the rows that remain.
    std::vector<ListedEnd> ended; ///< All that the later listing contains.
    bool isComplete = true;
};

/// None when the listings are of different processes of the worker, or one of them lists an attempt twice.
std::optional<ListingChange> listingChange(WorkerListing const& before, WorkerListing const& after);

/// Throws Error(MalformedMessage) when the change is of another listing.
void applyListingChange(WorkerListing& listing, ListingChange change);

/// The last listing of each worker that passed between this host and another one. The host that sent it and the host
/// that received it remember the same.
class ListingMemory {
public:
    struct Entry {
        HostId host; ///< The other host.
        uint64_t number = 0; ///< As the host that sent the listing numbered it.
        RenewAnswer answer;
        TimePoint rememberedAt;
    };

    /// Null when the worker's last listing was exchanged with another host, or forgotten.
    Entry* find(WorkerId const& worker, HostId const& host);

    Entry& remember(WorkerId const& worker, Entry entry);
    void forget(WorkerId const& worker) { this->entries.erase(worker); }

    /// Forgets what was not renewed since `time`, as of workers that are gone or listed to another host.
    void forgetOlderThan(TimePoint time);

    size_t size() const { return this->entries.size(); }

private:
    std::unordered_map<WorkerId, Entry> entries;
};

} // namespace cornelpond
