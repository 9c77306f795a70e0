#include "cornelpond/core/routing/ServerHealth.h"

#include <algorithm>
#include <cmath>

namespace cornelpond {

namespace {

    constexpr double failureSmoothing = 0.2;
    constexpr int64_t riseSmoothing = 2; ///< A slower answer counts at once,
    constexpr int64_t fallSmoothing = 8; ///< a faster one gradually.
    constexpr Duration latencyHalfLife = Duration::seconds(5);
    constexpr double lowestReadiness = 0.1;
    constexpr uint32_t maxDoublings = 10;

} // namespace

void ServerHealth::onAnswered(Duration latency, TimePoint now)
{
    Duration const expected = this->latency(now);
    int64_t const smoothing = latency > expected ? riseSmoothing : fallSmoothing;
    this->decayed = expected == Duration() ? latency : expected + (latency - expected) / smoothing;
    this->lastAnswer = now;
    this->failures *= 1 - failureSmoothing;
    this->attempts++;
    this->silentInRow = 0;
}

void ServerHealth::onFailed(bool wasSilent)
{
    this->failures += (1 - this->failures) * failureSmoothing;
    this->attempts++;
    this->silentInRow = wasSilent ? this->silentInRow + 1 : 0;
}

bool ServerHealth::isFailing(HealthLimits const& limits) const
{
    bool const failsFast = this->attempts >= limits.minAttempts && this->failures > limits.maxFailureRate;
    return failsFast || this->silentInRow >= limits.maxSilent;
}

void ServerHealth::eject(HealthLimits const& limits, TimePoint now)
{
    Duration const length = std::min(limits.firstEjection * (int64_t(1) << std::min(this->ejections, maxDoublings)), limits.longestEjection);
    this->ejected = true;
    this->ejections++;
    this->probeAt = now + length;
}

void ServerHealth::readmit(TimePoint now)
{
    this->ejected = false;
    this->ejections = 0;
    this->failures = 0;
    this->attempts = 0;
    this->silentInRow = 0;
    this->since = now;
}

Duration ServerHealth::latency(TimePoint now) const
{
    if (this->decayed == Duration())
        return this->decayed;
    double const halfLives = (now - this->lastAnswer).toSeconds() / latencyHalfLife.toSeconds();
    return Duration::microseconds(static_cast<int64_t>(static_cast<double>(this->decayed.toMicroseconds()) * std::exp2(-halfLives)));
}

double ServerHealth::readiness(HealthLimits const& limits, TimePoint now) const
{
    if (limits.slowStart == Duration())
        return 1;
    double const part = (now - this->since).toSeconds() / limits.slowStart.toSeconds();
    return std::clamp(part, lowestReadiness, 1.0);
}

} // namespace cornelpond
