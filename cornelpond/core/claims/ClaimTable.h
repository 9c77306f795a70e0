#pragma once

// The replicated state machine of claims: which idempotency keys are taken, and the stored answers.
// Deterministic: all it knows of time is the sum of what the leaders measured.
//
// Example:
//   ClaimTable table;
//   table.apply(decodeClaimCommand(bytes));
//   ClaimTable::Entry const* entry = table.find(key);
//
// Loop thread only.

#include "cornelpond/core/claims/ClaimCommand.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace cornelpond {

class ClaimTable {
public:
    struct Entry {
        ClaimId id;
        uint64_t fingerprint = 0;
        ClaimState state = ClaimState::InProgress;
        Duration deadline; ///< In the table's time, like `expires`.
        Duration expiresAt;
        StoredAnswer answer;
    };

    /// A claim of a taken key, and the end of a claim that is not the key's, change nothing.
    void apply(ClaimCommand const& command);

    /// The entry of a key that has not expired, or null.
    Entry const* find(ClaimKey const& key) const;

    /// What a host that asks for the key with this request is told now.
    ClaimResult resultFor(BeginClaim const& action) const;

    std::string takeSnapshot() const;

    /// Throws Error(StorageDamaged).
    void restore(std::string_view state);

    size_t size() const { return this->entries.size(); }
    size_t answerBytes() const { return this->storedAnswerBytes; }
    Duration logicalTime() const { return this->now; }

private:
    void begin(BeginClaim const& action);
    void finish(FinishClaim const& action);
    void erase(ClaimKey const& key);
    void expire();
    Entry* findOpen(ClaimKey const& key, ClaimId const& id);

    std::map<ClaimKey, Entry> entries;
    std::set<std::pair<int64_t, ClaimKey>> byExpiry; ///< Microseconds of the table's time.
    size_t storedAnswerBytes = 0;
    Duration now;
};

} // namespace cornelpond
