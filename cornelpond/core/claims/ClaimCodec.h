#pragma once

// The encoding of the values that claim commands, messages and snapshots have in common, on the wire and on
// disk: CBOR arrays.
//
// Example:
//   nlohmann::json const encoded = encodeClaimKey(key);
//   ClaimKey const same = decodeClaimKey(encoded);

#include "cornelpond/core/claims/Claim.h"

#include <nlohmann/json.hpp>

namespace cornelpond {

/// The decoders throw nlohmann::json::exception for a value of another type or length.
nlohmann::json encodeClaimKey(ClaimKey const& key);
ClaimKey decodeClaimKey(nlohmann::json const& value);
nlohmann::json encodeClaimId(ClaimId const& id);
ClaimId decodeClaimId(nlohmann::json const& value);
nlohmann::json encodeStoredAnswer(StoredAnswer const& answer);
StoredAnswer decodeStoredAnswer(nlohmann::json const& value);

} // namespace cornelpond
