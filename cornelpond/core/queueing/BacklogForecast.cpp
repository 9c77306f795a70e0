#include "cornelpond/core/queueing/BacklogForecast.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace cornelpond {

namespace {

    constexpr Duration window = Duration::milliseconds(250);
    constexpr size_t maxWindows = 8; ///< The rate of starts is that of the last two seconds.
    constexpr size_t minWindows = 4; ///< A shorter backlog says nothing about the rate.
    /// Fewer waiting tasks may be a few jobs that fit nowhere.
    constexpr size_t minBacklogPerWorker = 2;

} // namespace

void BacklogForecast::onStarts(Span<ReadyStage const> ready, Span<StagePlacement const> placements)
{
    for (size_t i = 0; i < placements.size(); i++) {
        if (placements[i].starts)
            this->bands[ready[i].rank.priorityBand].startsInWindow += placements[i].starts;
    }
}

void BacklogForecast::onPass(TimePoint now, size_t workerCount, Span<ReadyStage const> ready, Span<StagePlacement const> placements)
{
    this->onStarts(ready, placements);
    if (!this->windowStart)
        this->windowStart = now;
    if (now - *this->windowStart < window)
        return;
    this->windowStart = now;
    for (auto& [priority, band] : this->bands)
        band.waitingInTime = 0;
    for (size_t i = 0; i < ready.size(); i++) {
        size_t const waiting = ready[i].job->occurrences.at(ready[i].occurrence).stages[ready[i].stage].waitingCount;
        size_t const starts = i < placements.size() ? placements[i].starts : 0;
        if (ready[i].rank.lateness == StageRank::Lateness::InTime)
            this->bands[ready[i].rank.priorityBand].waitingInTime += waiting - std::min(waiting, starts);
    }
    for (auto& [priority, band] : this->bands)
        this->closeWindow(band, workerCount);
}

void BacklogForecast::closeWindow(Band& band, size_t workerCount) const
{
    size_t const starts = std::exchange(band.startsInWindow, 0);
    if (band.waitingInTime < workerCount * minBacklogPerWorker) {
        band.startsByWindow.clear();
        return;
    }
    band.startsByWindow.push_back(starts);
    if (band.startsByWindow.size() > maxWindows)
        band.startsByWindow.pop_front();
}

Duration BacklogForecast::expectedWait(unsigned priorityBand) const
{
    auto const found = this->bands.find(priorityBand);
    if (found == this->bands.end() || found->second.startsByWindow.size() < minWindows)
        return Duration();
    Band const& band = found->second;
    size_t const starts = std::accumulate(band.startsByWindow.begin(), band.startsByWindow.end(), size_t(0));
    Duration const counted = window * static_cast<int64_t>(band.startsByWindow.size());
    return counted.scaled(static_cast<double>(band.waitingInTime) / static_cast<double>(std::max<size_t>(starts, 1)));
}

std::optional<Duration> BacklogForecast::refusal(unsigned priorityBand, Duration criticalPath, Duration latencyObjective) const
{
    Duration const finish = this->expectedWait(priorityBand) + criticalPath;
    Duration const usefulUntil = latencyObjective * tooLateFactor;
    if (finish <= usefulUntil || criticalPath > usefulUntil)
        return std::nullopt;
    return finish - usefulUntil;
}

} // namespace cornelpond
