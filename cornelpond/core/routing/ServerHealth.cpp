#include "cornelpond/core/routing/ServerHealth.h"

#include <algorithm>
#include <cmath>

namespace cornelpond {

namespace {

    constexpr double failureWeight = 0.2; ///< Weight of the latest attempt.
    constexpr int64_t risingLatencyDivisor = 2; ///< A slower answer raises the expected latency quickly.
    constexpr int64_t fallingLatencyDivisor = 8; ///< A faster answer lowers it gradually.
    constexpr Duration latencyHalfLife = Duration::seconds(5);
    constexpr double minSlowStartWeight = 0.1;
    constexpr uint32_t maxEjectionDoublings = 10;

} // namespace

void ServerHealth::onAnswered(Duration latency, TimePoint now)
{
    Duration const expected = this->latency(now);
    int64_t const divisor = latency > expected ? risingLatencyDivisor : fallingLatencyDivisor;
    this->smoothedLatency = expected == Duration() ? latency : expected + (latency - expected) / divisor;
    this->lastAnswerAt = now;
    this->smoothedFailureRate *= 1 - failureWeight;
    this->attempts++;
    this->consecutiveSilent = 0;
}

void ServerHealth::onFailed(bool wasSilent)
{
    this->smoothedFailureRate += (1 - this->smoothedFailureRate) * failureWeight;
    this->attempts++;
    this->consecutiveSilent = wasSilent ? this->consecutiveSilent + 1 : 0;
}

bool ServerHealth::isFailing(HealthLimits const& limits) const
{
    bool const hasHighFailureRate = this->attempts >= limits.minAttempts && this->smoothedFailureRate > limits.maxFailureRate;
    return hasHighFailureRate || this->consecutiveSilent >= limits.maxSilentAttempts;
}

void ServerHealth::eject(HealthLimits const& limits, TimePoint now)
{
    Duration const ejectionTime = std::min(limits.firstEjection * (int64_t(1) << std::min(this->consecutiveEjections, maxEjectionDoublings)), limits.longestEjection);
    this->ejected = true;
    this->consecutiveEjections++;
    this->probeAt = now + ejectionTime;
}

void ServerHealth::readmit(TimePoint now)
{
    this->ejected = false;
    this->consecutiveEjections = 0;
    this->smoothedFailureRate = 0;
    this->attempts = 0;
    this->consecutiveSilent = 0;
    this->slowStartBegin = now;
}

Duration ServerHealth::latency(TimePoint now) const
{
    if (this->smoothedLatency == Duration())
        return this->smoothedLatency;
    double const halfLives = (now - this->lastAnswerAt).toSeconds() / latencyHalfLife.toSeconds();
    return Duration::microseconds(static_cast<int64_t>(static_cast<double>(this->smoothedLatency.toMicroseconds()) * std::exp2(-halfLives)));
}

double ServerHealth::slowStartWeight(HealthLimits const& limits, TimePoint now) const
{
    if (limits.slowStart == Duration())
        return 1;
    double const elapsedFraction = (now - this->slowStartBegin).toSeconds() / limits.slowStart.toSeconds();
    return std::clamp(elapsedFraction, minSlowStartWeight, 1.0);
}

} // namespace cornelpond
