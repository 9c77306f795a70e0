#pragma once

// Tells a repetition of an earlier call, which may arrive late, from a new one. Calls carry no id: a start that arrives after
// a finish may be the operator's latest word, or a copy of the start that the finish ended.
//
// Designed for: acknowledgements that are lost and calls that are delayed, so that an operator sends a call again for up to
// `resendLimit` while the next call is on its way.
//
// Example:
//   calls.noteApplied(command.change, command.dataCentre, clock.now());
//   if (std::optional<Duration> wait = calls.ambiguousFor(EvacuationChange::Start, dataCentre, clock.now()))
//       askToRetry(*wait);
//
// A call is sent again no later than `resendLimit` after it was first sent, hence no later than that after its commit. What
// arrives after that is new.

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/evacuation/EvacuationTable.h"

#include <map>
#include <optional>
#include <utility>

namespace cornelpond {

class RepeatedEvacuationCalls {
public:
    explicit RepeatedEvacuationCalls(Duration resendLimit)
        : resendLimit(resendLimit)
    {
    }

    void noteApplied(EvacuationChange change, DataCentreId const& dataCentre, TimePoint now) { this->appliedAt[{ dataCentre, change }] = now; }

    /// For a call that would change the data centre's state: how long it may still be a copy of the last one of its kind that was
    /// applied. Unset when it is new.
    std::optional<Duration> ambiguousFor(EvacuationChange change, DataCentreId const& dataCentre, TimePoint now) const;

private:
    Duration resendLimit;
    std::map<std::pair<DataCentreId, EvacuationChange>, TimePoint> appliedAt;
};

} // namespace cornelpond
