#pragma once

// The parts that claim commands, messages and snapshots share on the wire and on disk: CBOR arrays.
//
// Example:
//   nlohmann::json const encoded = encodeKey(key);
//   ClaimKey const same = decodeKey(encoded);

#include "cornelpond/core/claims/Claim.h"

#include <nlohmann/json.hpp>

namespace cornelpond {

/// The decoders throw nlohmann::json::exception for a wrong shape.
nlohmann::json encodeClaimKey(ClaimKey const& key);
ClaimKey decodeClaimKey(nlohmann::json const& value);
nlohmann::json encodeClaimId(ClaimId const& id);
ClaimId decodeClaimId(nlohmann::json const& value);
nlohmann::json encodeStoredAnswer(StoredAnswer const& answer);
StoredAnswer decodeStoredAnswer(nlohmann::json const& value);

} // namespace cornelpond
