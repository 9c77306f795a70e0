#include "cornelpond/core/placement/InterferenceTable.h"

#include "cornelpond/core/base/ResultCode.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

LearnedFigure pairFigure(std::string const& bestEffort, double value, int64_t observedWallMs)
{
    return { LearnedFigure::Kind::Pair, "watch", bestEffort, value, 0.125, observedWallMs };
}

} // namespace

TEST_CASE("a snapshot restores the learned figures, and a later figure of the same images replaces the earlier")
{
    InterferenceTable table;
    table.apply(encodeLearnedFigures({ pairFigure("plan", 7.25, 1000), { LearnedFigure::Kind::CpuUse, "", "plan", 0.75, 0, 1000 } }));
    table.apply(encodeLearnedFigures({ pairFigure("plan", 4.5, 2000) }));
    InterferenceTable restored;
    restored.restore(table.takeSnapshot());
    REQUIRE(restored.figures().size() == 2);
    LearnedFigure const* pair = restored.find(pairFigure("plan", 0, 0));
    REQUIRE(pair);
    CHECK(pair->value == Approx(4.5));
    CHECK(pair->clearedShare == Approx(0.125));
    CHECK(pair->observedWallMs == 2000);
}

TEST_CASE("the table forgets figures past their retention, and the oldest beyond its bound")
{
    InterferenceTable table;
    table.apply(encodeLearnedFigures({ pairFigure("old", 1, 1) }));
    table.apply(encodeLearnedFigures({ pairFigure("new", 1, InterferenceTable::retentionMs + 2) }));
    CHECK_FALSE(table.find(pairFigure("old", 0, 0)));
    for (size_t i = 0; i < InterferenceTable::maxFigures; i++)
        table.apply(encodeLearnedFigures({ pairFigure("f" + std::to_string(i), 1, InterferenceTable::retentionMs + 3 + static_cast<int64_t>(i)) }));
    CHECK(table.figures().size() == InterferenceTable::maxFigures);
    CHECK_FALSE(table.find(pairFigure("new", 0, 0)));
    CHECK(table.find(pairFigure("f0", 0, 0)));
}

TEST_CASE("a command with bytes after its figures is refused")
{
    InterferenceTable table;
    CHECK_THROWS_AS(table.apply(encodeLearnedFigures({ pairFigure("plan", 1, 1) }) + "x"), Error);
}
