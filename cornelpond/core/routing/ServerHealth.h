#pragma once

// Health of one backend server as one entry host observes it: decayed latency, failure rate, and whether
// the server is ejected because its attempts fail or get no answer.
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
    double maxFailureRate = 0.6; ///< Above this, by exponential smoothing over the latest attempts, the server is failing.
    uint32_t minAttempts = 5; ///< Below this many attempts the failure rate is not considered.
    uint32_t maxSilentAttempts = 3; ///< From this many consecutive attempts without a byte of an answer the server is failing.
    Duration firstEjection = Duration::seconds(1); ///< Doubles with each failed probe.
    Duration longestEjection = Duration::seconds(30);
    double maxEjectedShare = 0.5; ///< Fraction of a service's servers; the others stay in use even if they fail.
    Duration slowStart = Duration::seconds(5); ///< Time in which a new or readmitted server has a reduced weight.
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

    /// Ends the ejection, clears the failure record and begins a slow start.
    void readmit(TimePoint now);

    bool isEjected() const { return this->ejected; }

    /// True when an ejected server may get one request as a probe.
    bool isProbeDue(TimePoint now) const { return this->ejected && now >= this->probeAt; }

    /// Expected latency; decays while no answer arrives, so that a slow server is tried again. Zero before the first answer.
    Duration latency(TimePoint now) const;

    double failureRate() const { return this->smoothedFailureRate; }

    /// Weight from 0.1 for a server that just joined or was readmitted to 1 once its slow start is over.
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
