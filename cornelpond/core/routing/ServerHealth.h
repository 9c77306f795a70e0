#pragma once

// What one entry host has seen of one backend server: decayed latency, failure rate, and whether the
// server is ejected because it fails fast or has gone silent.
//
// Example:
//   health.onAnswered(latency, now);
//   if (health.isFailing(limits))
//       health.eject(limits, now);
//
// Loop thread only.

#include "cornelpond/core/base/Duration.h"

#include <cstdint>

namespace cornelpond {

struct HealthLimits {
    double maxFailureRate = 0.6; ///< Of the latest attempts, decayed.
    uint32_t minAttempts = 5; ///< Fewer attempts judge nobody.
    uint32_t maxSilentAttempts = 3; ///< Attempts in a row without a byte of an answer.
    Duration firstEjection = Duration::seconds(1); ///< Doubles with each failed probe.
    Duration longestEjection = Duration::seconds(30);
    double maxEjectedShare = 0.5; ///< Of a service's servers; the others stay, however bad.
    Duration slowStart = Duration::seconds(5); ///< A new or readmitted server is weighed down this long.
};

class ServerHealth {
public:
    explicit ServerHealth(TimePoint joined)
        : slowStartBegin(joined)
    {
    }

    void onAnswered(Duration latency, TimePoint now);
    void onFailed(bool wasSilent);

    bool isFailing(HealthLimits const& limits) const;
    void eject(HealthLimits const& limits, TimePoint now);

    /// Takes the server back with a fresh record and a slow start.
    void readmit(TimePoint now);

    bool isEjected() const { return this->ejected; }

    /// True when an ejected server may get one request again.
    bool isProbeDue(TimePoint now) const { return this->ejected && now >= this->probeAt; }

    /// Expected latency; falls while nothing is seen, so that a slow server is tried again.
    Duration latency(TimePoint now) const;

    double failureRate() const { return this->smoothedFailureRate; }

    /// From 0.1 for a server that just joined to 1 once its slow start is over.
    double slowStartWeight(HealthLimits const& limits, TimePoint now) const;

private:
    TimePoint slowStartBegin;
    TimePoint lastAnswerAt;
    Duration smoothedLatency;
    double smoothedFailureRate = 0;
    uint32_t attempts = 0;
    uint32_t consecutiveSilent = 0;
    uint32_t consecutiveEjections = 0;
    bool ejected = false;
    TimePoint probeAt;
};

} // namespace cornelpond
