#pragma once

// The claim of an idempotency key: who may send the one request that the key names, and what came of it.
//
// Example:
//   ClaimKey const key { ServiceId("booking"), AssociationId("awnings"), "order-17" };
//   DataCentreId const home = homeOf(key, dataCentres);

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Span.h"

#include <string>
#include <tuple>
#include <vector>

namespace cornelpond {

/// An idempotency key counts within one service and association.
struct ClaimKey {
    ServiceId service;
    AssociationId association;
    std::string key;

    bool operator<(ClaimKey const& other) const { return std::tie(this->service, this->association, this->key) < std::tie(other.service, other.association, other.key); }
    bool operator==(ClaimKey const& other) const { return std::tie(this->service, this->association, this->key) == std::tie(other.service, other.association, other.key); }
};

/// Names one try to claim a key; a host that restarts never uses an id again.
struct ClaimId {
    HostId host;
    uint64_t incarnation = 0; ///< Random, chosen when the host's process started.
    uint64_t sequence = 0;

    bool operator<(ClaimId const& other) const { return std::tie(this->host, this->incarnation, this->sequence) < std::tie(other.host, other.incarnation, other.sequence); }
    bool operator==(ClaimId const& other) const { return std::tie(this->host, this->incarnation, this->sequence) == std::tie(other.host, other.incarnation, other.sequence); }
    bool operator!=(ClaimId const& other) const { return !(*this == other); }
};

struct StoredHeader {
    std::string name;
    std::string value;
};

/// The answer that a resent key gets.
struct StoredAnswer {
    int status = 0; ///< 0: none was kept.
    std::vector<StoredHeader> headers;
    std::string body;

    size_t byteSize() const;
};

/// Stored in logs and snapshots, so numbers never change meaning.
enum class ClaimState : uint8_t {
    InProgress = 1, ///< The claim's holder may send the request, or has.
    Finished = 2, ///< The request ran; the answer may have been kept.
    Unknown = 3, ///< The request may have run; nobody may send it again.
};

/// What a claim led to.
enum class ClaimResult : uint8_t {
    Granted = 1, ///< The asker, and nobody else, may send the request.
    InProgress = 2,
    Finished = 3, ///< With the stored answer, if it was kept.
    Unknown = 4,
    Conflict = 5, ///< The key was used for another request.
    Full = 6, ///< No room for another key; nothing was claimed.
    NotLeader = 7, ///< Ask another host; nothing was claimed here.
    Unavailable = 8, ///< Not granted; the key may stay claimed by nobody until it expires.
    EndRecorded = 9, ///< The end of a claim was recorded.
};

/// The data centre whose group keeps the key; every host computes the same one from the same list.
DataCentreId homeDataCentreOf(ClaimKey const& key, Span<DataCentreId const> dataCentres);

} // namespace cornelpond
