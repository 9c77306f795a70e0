#include "cornelpond/core/claims/Claim.h"

#include "cornelpond/core/base/StableHash.h"

namespace cornelpond {

size_t StoredAnswer::byteSize() const
{
    size_t total = this->body.size();
    for (auto const& header : this->headers)
        total += header.name.size() + header.value.size();
    return total;
}

/// Rendezvous hashing: when a data centre joins, only the keys whose home it becomes move.
DataCentreId homeDataCentreOf(ClaimKey const& key, Span<DataCentreId const> dataCentres)
{
    uint64_t const keyHash = stableHash(key.key, stableHash(key.service.value(), stableHash(key.association.value())));
    DataCentreId home;
    uint64_t bestScore = 0;
    for (auto const& dataCentre : dataCentres) {
        uint64_t const score = stableHash(dataCentre.value(), keyHash);
        bool const isBetter = home.empty() || score > bestScore || (score == bestScore && dataCentre < home);
        if (!isBetter)
            continue;
        home = dataCentre;
        bestScore = score;
    }
    return home;
}

} // namespace cornelpond
