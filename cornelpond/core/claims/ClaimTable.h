#pragma once

// The replicated state machine of claims: which idempotency keys are taken, and the stored answers.
// Deterministic: it reads no clock, and its logical time is the sum of the times that the leaders measured
// between their commands.
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
        Duration deadline; ///< In logical time, like `expiresAt`.
        Duration expiresAt;
        StoredAnswer answer;
    };

    /// A claim of a taken key changes nothing, and neither does the end of a claim that does not hold the key.
    void apply(ClaimCommand const& command);

    /// The entry of a key that has not expired, or null.
    Entry const* find(ClaimKey const& key) const;

    /// The result of this claim, by the current state of its key. Unavailable if the key is not taken.
    ClaimResult resultFor(BeginClaim const& action) const;

    std::string takeSnapshot() const;

    /// Replaces the state. Throws Error(MalformedJson) for bytes that are not CBOR and Error(StorageDamaged) for
    /// other bytes that can't be decoded; the state is then unchanged.
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
    std::set<std::pair<int64_t, ClaimKey>> byExpiry; ///< By expiresAt, in microseconds of logical time.
    size_t storedAnswerBytes = 0;
    Duration now; ///< The logical time.
};

} // namespace cornelpond
