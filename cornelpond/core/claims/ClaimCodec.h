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
nlohmann::json encodeKey(ClaimKey const& key);
ClaimKey decodeKey(nlohmann::json const& value);
nlohmann::json encodeId(ClaimId const& id);
ClaimId decodeId(nlohmann::json const& value);
nlohmann::json encodeAnswer(StoredAnswer const& answer);
StoredAnswer decodeAnswer(nlohmann::json const& value);

} // namespace cornelpond
