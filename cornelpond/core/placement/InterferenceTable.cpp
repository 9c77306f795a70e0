#include "cornelpond/core/placement/InterferenceTable.h"

#include "cornelpond/core/base/ByteCodec.h"

#include <algorithm>
#include <cmath>

namespace cornelpond {

namespace {

    constexpr double unitsPerOne = 1000; ///< Figures are stored as whole thousandths, so that all hosts hold the same.

    uint64_t toUnits(double value)
    {
        return static_cast<uint64_t>(std::llround(std::max(value, 0.0) * unitsPerOne));
    }

    double fromUnits(uint64_t units)
    {
        return static_cast<double>(units) / unitsPerOne;
    }

} // namespace

std::string encodeLearnedFigures(std::vector<LearnedFigure> const& figures)
{
    ByteWriter out;
    out.number(figures.size());
    for (auto const& figure : figures) {
        out.number(static_cast<uint64_t>(figure.kind));
        out.text(figure.service);
        out.text(figure.bestEffort);
        out.number(toUnits(figure.value));
        out.number(toUnits(figure.clearedShare));
        out.number(static_cast<uint64_t>(std::max<int64_t>(figure.observedWallMs, 0)));
    }
    return out.take();
}

std::vector<LearnedFigure> decodeLearnedFigures(std::string const& encoded)
{
    ByteReader in(encoded);
    std::vector<LearnedFigure> figures;
    for (uint64_t remaining = in.number(); remaining; remaining--) {
        LearnedFigure figure;
        figure.kind = static_cast<LearnedFigure::Kind>(in.number());
        figure.service = std::string(in.text());
        figure.bestEffort = std::string(in.text());
        figure.value = fromUnits(in.number());
        figure.clearedShare = fromUnits(in.number());
        figure.observedWallMs = static_cast<int64_t>(in.number());
        figures.push_back(std::move(figure));
    }
    in.expectEnd();
    return figures;
}

void InterferenceTable::apply(std::string const& command)
{
    for (auto const& figure : decodeLearnedFigures(command))
        this->put(figure);
    this->forgetOldest();
}

void InterferenceTable::put(LearnedFigure const& figure)
{
    if (figure.service.size() > maxNameLength || figure.bestEffort.size() > maxNameLength)
        return;
    this->entries[keyOf(figure)] = figure;
}

/// By the times in the figures alone, as all hosts must forget the same.
void InterferenceTable::forgetOldest()
{
    int64_t newest = 0;
    for (auto const& [key, figure] : this->entries)
        newest = std::max(newest, figure.observedWallMs);
    for (auto entry = this->entries.begin(); entry != this->entries.end();)
        entry = newest - entry->second.observedWallMs > retentionMs ? this->entries.erase(entry) : std::next(entry);
    while (this->entries.size() > maxFigures)
        this->entries.erase(std::min_element(this->entries.begin(), this->entries.end(), [](auto const& left, auto const& right) { return left.second.observedWallMs < right.second.observedWallMs; }));
}

LearnedFigure const* InterferenceTable::find(LearnedFigure const& like) const
{
    auto const found = this->entries.find(keyOf(like));
    return found == this->entries.end() ? nullptr : &found->second;
}

std::vector<LearnedFigure> InterferenceTable::figures() const
{
    std::vector<LearnedFigure> all;
    for (auto const& [key, figure] : this->entries)
        all.push_back(figure);
    return all;
}

void InterferenceTable::restore(std::string const& state)
{
    this->entries.clear();
    if (state.empty())
        return;
    for (auto const& figure : decodeLearnedFigures(state))
        this->put(figure);
}

} // namespace cornelpond
