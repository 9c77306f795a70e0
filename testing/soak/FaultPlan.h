#pragma once

// What goes wrong when in one soak run, drawn from a seed. Faults come in series and overlap; at any moment at
// most one control host is down, paused, cut off or without its disk, which is what a fleet of three bears.
//
// Example:
//   for (FaultStep const& step : drawFaults(seed, Duration::seconds(20)))
//       schedule(step);

#include "cornelpond/core/base/Duration.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace cornelpond {

enum class FaultKind {
    KillHost, ///< SIGKILL; started again after `lasts`.
    StopHost, ///< SIGTERM; started again after `lasts` from its end.
    PauseHost, ///< SIGSTOP, then SIGCONT after `lasts`.
    WipeHost, ///< SIGKILL; started again with an empty data folder.
    TearJournal, ///< SIGKILL; started again with garbage behind what was synced.
    ReloadHost, ///< SIGHUP.
    ResetLinks, ///< Connections of the host to its peers are reset.
    SilenceLinks, ///< Open connections of the host to its peers swallow all further bytes.
    CutOneWay, ///< Nothing gets from the host to its peers for `lasts`.
    SlowLinks, ///< Delay and stalls on the host's links to its peers for `lasts`.
    CrashWorker, ///< Back under its old id after `lasts`.
    CutWorker, ///< Out of reach for `lasts`; runs on.
    SilenceWorker, ///< Open connections to the worker swallow all further bytes.
    DrainWorker, ///< Says that it leaves, ends after `lasts`, comes back under its old id.
    LateOrders, ///< A share of orders to workers is carried out late for `lasts`.
    CancelWave, ///< Many jobs are cancelled at once.
    RaceOperators, ///< Two changes of the configuration at once, to two hosts.
};

std::string_view faultName(FaultKind kind);

struct FaultStep {
    Duration startOffset; ///< From the start of the load.
    FaultKind kind = FaultKind::KillHost;
    Duration duration;
    uint64_t targetSelector = 0; ///< Which host or worker, modulo how many there are.
};

/// True for faults that take a control host away for a while.
bool disruptsControlHost(FaultKind kind);

std::vector<FaultStep> drawFaults(uint64_t seed, Duration span);

} // namespace cornelpond
