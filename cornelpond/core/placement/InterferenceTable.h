#pragma once

// What leaders have learned about images, as part of the replicated state: which best-effort images interfere with which
// service images, and how much of their requested cores best-effort images use. A new leader begins with it instead of
// trying every pair of images again. It may be lost without harm.
//
// Example:
//   InterferenceTable table;
//   table.apply(encodeLearnedFigures(figures));
//   for (auto const& figure : table.figures())
//       restore(figure);
//
// Bounded: keeps the figures of the last `retentionMs`, `maxFigures` at most. Image names longer than `maxNameLength` are left
// out.

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace cornelpond {

/// One learned figure. Stored in logs and snapshots, so values of `Kind` never change meaning.
struct LearnedFigure {
    enum class Kind : uint8_t {
        Pair = 1, ///< `value`: interference coefficient of the two images.
        CpuUse = 2, ///< `value`: share of the requested cores that the best-effort image uses. No service image.
    };

    Kind kind = Kind::Pair;
    std::string service;
    std::string bestEffort;
    double value = 0; ///< Kept to a thousandth.
    double clearedShare = 0; ///< Of a pair: share of a worker's cores at which the service stayed well under its target. Kept to a thousandth.
    int64_t observedWallMs = 0;
};

std::string encodeLearnedFigures(std::vector<LearnedFigure> const& figures);
/// Throws Error(MalformedMessage).
std::vector<LearnedFigure> decodeLearnedFigures(std::string const& encoded);

class InterferenceTable {
public:
    static constexpr size_t maxFigures = 1000;
    static constexpr size_t maxNameLength = 200;
    static constexpr int64_t retentionMs = 300'000;

    /// Replaces the figures of the same images by those of the command.
    void apply(std::string const& command);

    /// Null when there is none.
    LearnedFigure const* find(LearnedFigure const& like) const;
    std::vector<LearnedFigure> figures() const;
    bool empty() const { return this->entries.empty(); }

    /// Empty while nothing is kept, so that hosts of earlier versions can restore a snapshot without it.
    std::string takeSnapshot() const { return this->entries.empty() ? std::string() : encodeLearnedFigures(this->figures()); }
    void restore(std::string const& state);

private:
    using Key = std::tuple<LearnedFigure::Kind, std::string, std::string>;

    static Key keyOf(LearnedFigure const& figure) { return { figure.kind, figure.service, figure.bestEffort }; }
    void put(LearnedFigure const& figure);
    void forgetOldest();

    std::map<Key, LearnedFigure> entries;
};

} // namespace cornelpond
