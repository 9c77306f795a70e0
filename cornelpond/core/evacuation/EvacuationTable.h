#pragma once

// The data centres that an operator has asked to evacuate: replicated state. No task is started in them.
//
// Example:
//   EvacuationTable evacuations;
//   evacuations.apply({ EvacuationChange::Start, DataCentreId("north-b"), wallMs });
//   evacuations.isEvacuated(DataCentreId("north-b")); // true, until a Finish is applied
//
// Deterministic: uses no clock and no randomness.

#include "cornelpond/core/base/ByteCodec.h"
#include "cornelpond/core/base/Ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cornelpond {

/// The numbers are stored and never change meaning.
enum class EvacuationChange : uint8_t {
    Start = 1,
    Finish = 2,
};

struct EvacuationCommand {
    EvacuationChange change = EvacuationChange::Start;
    DataCentreId dataCentre;
    int64_t wallMs = 0; ///< When the leader proposed it; for logs and metrics.
};

std::string encodeEvacuationCommand(EvacuationCommand const& command);

/// Throws Error(MalformedMessage).
EvacuationCommand decodeEvacuationCommand(std::string_view bytes);

class EvacuationTable {
public:
    /// False when it changes nothing.
    bool apply(EvacuationCommand const& command);

    bool isEvacuated(DataCentreId const& dataCentre) const { return !this->startedWallMs.empty() && this->startedWallMs.count(dataCentre); }
    /// The evacuated data centres, with the wall-clock time of each start in ms.
    std::map<DataCentreId, int64_t> const& all() const { return this->startedWallMs; }

    /// Empty when no data centre is evacuated.
    std::string takeSnapshot() const;

    /// Throws Error(MalformedMessage).
    void restore(std::string const& snapshot);

private:
    std::map<DataCentreId, int64_t> startedWallMs;
};

} // namespace cornelpond
