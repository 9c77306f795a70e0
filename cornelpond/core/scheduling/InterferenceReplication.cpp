#include "cornelpond/core/scheduling/InterferenceReplication.h"

#include <algorithm>
#include <cmath>

namespace cornelpond {

namespace {

    /// How far a learned figure is from the replicated one, as a multiple of what counts as material; infinite without one.
    double changeOf(LearnedFigure const& learned, LearnedFigure const* replicated)
    {
        constexpr double materialCoefficient = 1.5;
        constexpr double materialFraction = 0.3;
        constexpr double materialShare = 0.1;
        if (!replicated)
            return learned.value > materialCoefficient || learned.clearedShare > 0 || learned.kind == LearnedFigure::Kind::CpuUse ? HUGE_VAL : 0;
        double const minChange = learned.kind == LearnedFigure::Kind::Pair ? std::max(materialCoefficient, materialFraction * replicated->value) : materialShare;
        double const cleared = std::max(materialShare, materialFraction * replicated->clearedShare);
        return std::max(std::abs(learned.value - replicated->value) / minChange, (learned.clearedShare - replicated->clearedShare) / cleared);
    }

} // namespace

InterferenceReplication::InterferenceReplication(Clock const& clock, EventSink& events, CommandLog& log, InterferenceControl& control)
    : clock(clock)
    , events(events)
    , log(log)
    , control(control)
{
}

void InterferenceReplication::onLeadership(bool isLeader)
{
    this->isInFlight = false;
    this->nextProposal = this->clock.now() + interval;
    if (!isLeader || this->table.empty())
        return;
    size_t const restored = this->control.restoreLearnedFigures(this->table.figures());
    this->events.emit(Event(EventId::InterferenceRestored).with("figures", this->table.figures().size()).with("restored", restored));
}

void InterferenceReplication::onTick()
{
    if (this->isInFlight || this->clock.now() < this->nextProposal || !this->log.isLeadershipConfirmed())
        return;
    this->nextProposal = this->clock.now() + interval;
    std::vector<LearnedFigure> const changed = this->changedFigures();
    if (changed.empty())
        return;
    this->isInFlight = true;
    this->log.propose(encodeLearnedFigures(changed), [this](ProposalOutcome const&) { this->isInFlight = false; });
}

/// Those that changed most first.
std::vector<LearnedFigure> InterferenceReplication::changedFigures() const
{
    std::vector<std::pair<double, LearnedFigure>> changes;
    for (auto& figure : this->control.learnedFigures()) {
        double const change = changeOf(figure, this->table.find(figure));
        if (change >= 1)
            changes.emplace_back(change, std::move(figure));
    }
    std::stable_sort(changes.begin(), changes.end(), [](auto const& left, auto const& right) { return left.first > right.first; });
    changes.resize(std::min(changes.size(), maxFiguresPerProposal));
    std::vector<LearnedFigure> figures;
    figures.reserve(changes.size());
    for (auto& [change, figure] : changes)
        figures.push_back(std::move(figure));
    return figures;
}

} // namespace cornelpond
