#pragma once

// The workers of a data centre, indexed so that one placement does not examine all of them.
//
// Workers with equal labels form a class; a selector is matched once against each class. Within a class, workers are
// ordered by free cores, so that only workers with enough free cores are examined, and only a shortlist of these is
// scored.
//
// Example:
//   index.set(candidate);
//   Placement const placement = index.choose({ spec, avoidedWorkers, extraCost });
//
// Loop thread only.

#include "cornelpond/core/placement/Placer.h"

#include <functional>
#include <map>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace cornelpond {

/// The input of one placement.
struct PlacementQuery {
    TaskSpec const& spec;
    std::vector<WorkerId> avoidedWorkers; ///< Chosen only when no other worker on the shortlist has room.
    std::function<double(WorkerCandidate const&)> extraCost; ///< Added to the placement cost. May be empty.
};

class WorkerIndex {
public:
    /// Adds the worker or replaces its entry.
    void set(WorkerCandidate candidate);
    void remove(WorkerId const& id);
    void clear();

    /// Null when unknown. Valid until the next change.
    WorkerCandidate const* find(WorkerId const& id) const;

    /// Takes `need` off the worker's free resources.
    void reserve(WorkerId const& id, Resources const& need);

    Placement choose(PlacementQuery const& query);

    /// Up to `limit` matching workers that could run the task if enough were evicted there.
    std::vector<WorkerCandidate const*> fittingWhenEmpty(TaskSpec const& spec, size_t limit);

    Resources const& totalCapacity() const { return this->total; }
    size_t size() const { return this->entries.size(); }

private:
    using ResourceAmounts = std::tuple<int64_t, int64_t, int64_t>;
    struct Entry {
        WorkerCandidate candidate;
        size_t labelClass = 0;
        uint64_t insertionOrder = 0; ///< From when the worker was added; breaks ties the same way in every run.
    };
    struct LabelClass {
        Labels labels;
        std::map<std::pair<int64_t, uint64_t>, Entry*> byFreeCores; ///< Only workers that accept tasks.
        std::map<ResourceAmounts, size_t> capacityCounts; ///< Number of workers by capacity.
        std::map<uint64_t, Entry*> workers;
    };

    void addToClass(Entry& entry);
    void removeFromClass(Entry& entry);
    std::vector<size_t> const& matchingClasses(Selector const& selector);
    void shortlist(LabelClass const& labelClass, TaskSpec const& spec, std::vector<Entry const*>& result) const;
    std::string waitReason(TaskSpec const& spec, bool& fitsWhenEmpty);

    std::unordered_map<WorkerId, Entry> entries;
    std::vector<LabelClass> classes;
    std::map<Labels, size_t> classByLabels;
    std::unordered_map<std::string, std::vector<size_t>> matchCache; ///< By the selector's text; cleared when a class is added.
    Resources total;
    uint64_t nextInsertionOrder = 1;
};

} // namespace cornelpond
