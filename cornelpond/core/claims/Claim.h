#pragma once

// The claim of an idempotency key: which host may send the one request that the key identifies, and how that
// request ended.
//
// Example:
//   ClaimKey const key { ServiceId("booking"), AssociationId("awnings"), "order-17" };
//   DataCentreId const home = homeDataCentreOf(key, dataCentres);

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Span.h"

#include <string>
#include <tuple>
#include <vector>

namespace cornelpond {

/// An idempotency key is unique within one service and association.
struct ClaimKey {
    ServiceId service;
    AssociationId association;
    std::string key;

    bool operator<(ClaimKey const& other) const { return std::tie(this->service, this->association, this->key) < std::tie(other.service, other.association, other.key); }
    bool operator==(ClaimKey const& other) const { return std::tie(this->service, this->association, this->key) == std::tie(other.service, other.association, other.key); }
};

/// Identifies one attempt to claim a key. Not reused after a restart, as the incarnation differs.
struct ClaimId {
    HostId host;
    uint64_t incarnation = 0; ///< Random, chosen when the host's process started.
    uint64_t sequence = 0; ///< Counts the calls of one incarnation.

    bool operator<(ClaimId const& other) const { return std::tie(this->host, this->incarnation, this->sequence) < std::tie(other.host, other.incarnation, other.sequence); }
    bool operator==(ClaimId const& other) const { return std::tie(this->host, this->incarnation, this->sequence) == std::tie(other.host, other.incarnation, other.sequence); }
    bool operator!=(ClaimId const& other) const { return !(*this == other); }
};

struct StoredHeader {
    std::string name;
    std::string value;
};

/// The answer to a request, replayed when the request is sent again with the same key.
struct StoredAnswer {
    int status = 0; ///< HTTP status; 0: no answer was kept.
    std::vector<StoredHeader> headers;
    std::string body;

    /// Size of the body and of all header names and values.
    size_t byteSize() const;
};

/// Stored in logs and snapshots, so values never change meaning.
enum class ClaimState : uint8_t {
    InProgress = 1, ///< The claim's holder may send the request or has sent it.
    Finished = 2, ///< The request ran; the answer is stored if it was kept.
    Unknown = 3, ///< The request may have run; nobody may send it again.
};

/// The answer to a claim call; sent on the wire, so values never change meaning.
enum class ClaimResult : uint8_t {
    Granted = 1, ///< The caller, and no other host, may send the request.
    InProgress = 2, ///< Another claim holds the key; its deadline has not passed.
    Finished = 3, ///< The request ran; the stored answer comes with it, if it was kept.
    Unknown = 4, ///< The request may have run; it must not be sent.
    Conflict = 5, ///< The key was used for another request.
    Full = 6, ///< No room for another key; nothing was claimed.
    NotLeader = 7, ///< This host does not lead the key's group; nothing was claimed.
    Unavailable = 8, ///< Not granted. The claim may have been committed; then the key stays taken until it is released or expires.
    EndRecorded = 9, ///< The end of a claim was recorded.
};

/// The data centre whose group stores the key; every host computes the same one from the same list.
DataCentreId homeDataCentreOf(ClaimKey const& key, Span<DataCentreId const> dataCentres);

} // namespace cornelpond
