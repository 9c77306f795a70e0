#include "cornelpond/core/evacuation/RepeatedEvacuationCalls.h"

namespace cornelpond {

std::optional<Duration> RepeatedEvacuationCalls::ambiguousFor(EvacuationChange change, DataCentreId const& dataCentre, TimePoint now) const
{
    auto const last = this->appliedAt.find({ dataCentre, change });
    if (last == this->appliedAt.end() || now - last->second >= this->resendLimit)
        return std::nullopt;
    return this->resendLimit - (now - last->second);
}

} // namespace cornelpond
