#pragma once

// The workers of a data centre, indexed so that one placement does not look at all of them.
//
// Workers with equal labels form a class; a selector is matched once against each class. Within a
// class workers stand in order of free processors, so that only workers with room are looked at, and
// of these at most a shortlist is scored.
//
// Example:
//   index.set(candidate);
//   Placement const placement = index.choose({ spec, avoided, spreadCost });
//
// Loop thread only.

#include "cornelpond/core/placement/Placer.h"

#include <functional>
#include <map>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace cornelpond {

/// What one placement goes by.
struct PlacementQuery {
    TaskSpec const& spec;
    std::vector<WorkerId> avoidedWorkers; ///< Taken only when no other worker has room.
    std::function<double(WorkerCandidate const&)> extraCost; ///< Added to the score; lower is better. May be empty.
};

class WorkerIndex {
public:
    /// Adds the worker or replaces what is known of it.
    void set(WorkerCandidate candidate);
    void remove(WorkerId const& id);
    void clear();

    /// Null when unknown. Valid until the next change.
    WorkerCandidate const* find(WorkerId const& id) const;

    /// Takes `need` off the worker's free resources.
    void reserve(WorkerId const& id, Resources const& need);

    Placement choose(PlacementQuery const& query);

    /// Up to `limit` matching workers that could hold the task if enough were evicted.
    std::vector<WorkerCandidate const*> fittingWhenEmpty(TaskSpec const& spec, size_t limit);

    Resources const& totalCapacity() const { return this->total; }
    size_t size() const { return this->entries.size(); }

private:
    using ResourceAmounts = std::tuple<int64_t, int64_t, int64_t>;
    struct Entry {
        WorkerCandidate candidate;
        size_t labelClass = 0;
        uint64_t insertionOrder = 0; ///< Of the first announcement; breaks ties alike in every run.
    };
    struct LabelClass {
        Labels labels;
        std::map<std::pair<int64_t, uint64_t>, Entry*> byFreeCores; ///< Only those that take new tasks.
        std::map<ResourceAmounts, size_t> capacityCounts; ///< Workers of each size.
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
