#include "cornelpond/core/placement/WorkerIndex.h"

#include <algorithm>
#include <limits>

namespace cornelpond {

namespace {

    constexpr size_t shortlistSize = 32;
    constexpr size_t maxCachedSelectors = 4096;
    constexpr double avoidedWorkerCost = 1000;

    std::tuple<int64_t, int64_t, int64_t> amountsOf(Resources const& resources)
    {
        return { resources.milliCores, resources.memoryMiB, resources.accelerators };
    }

} // namespace

void WorkerIndex::set(WorkerCandidate candidate)
{
    auto const [found, isNew] = this->entries.try_emplace(candidate.id);
    Entry& entry = found->second;
    bool const isSameClass = !isNew && entry.candidate.labels == candidate.labels && entry.candidate.capacity == candidate.capacity;
    if (isSameClass && entry.candidate.free == candidate.free && entry.candidate.canAcceptTasks == candidate.canAcceptTasks) {
        entry.candidate.rack = std::move(candidate.rack);
        return;
    }
    if (isNew)
        entry.insertionOrder = this->nextInsertionOrder++;
    else
        this->removeFromClass(entry);
    size_t const previousClass = entry.labelClass;
    entry.candidate = std::move(candidate);
    if (isSameClass) {
        entry.labelClass = previousClass;
    } else {
        auto const [known, isNewClass] = this->classByLabels.try_emplace(entry.candidate.labels, this->classes.size());
        entry.labelClass = known->second;
        if (isNewClass) {
            this->classes.push_back({ entry.candidate.labels, {}, {}, {} });
            this->matchCache.clear();
        }
    }
    this->addToClass(entry);
}

void WorkerIndex::addToClass(Entry& entry)
{
    LabelClass& labelClass = this->classes[entry.labelClass];
    if (entry.candidate.canAcceptTasks)
        labelClass.byFreeCores.emplace(std::make_pair(entry.candidate.free.milliCores, entry.insertionOrder), &entry);
    labelClass.capacityCounts[amountsOf(entry.candidate.capacity)]++;
    labelClass.workers.emplace(entry.insertionOrder, &entry);
    this->total += entry.candidate.capacity;
}

void WorkerIndex::removeFromClass(Entry& entry)
{
    LabelClass& labelClass = this->classes[entry.labelClass];
    labelClass.byFreeCores.erase({ entry.candidate.free.milliCores, entry.insertionOrder });
    auto const capacity = labelClass.capacityCounts.find(amountsOf(entry.candidate.capacity));
    if (--capacity->second == 0)
        labelClass.capacityCounts.erase(capacity);
    labelClass.workers.erase(entry.insertionOrder);
    this->total -= entry.candidate.capacity;
}

void WorkerIndex::remove(WorkerId const& id)
{
    auto const found = this->entries.find(id);
    if (found == this->entries.end())
        return;
    this->removeFromClass(found->second);
    this->entries.erase(found);
}

void WorkerIndex::clear()
{
    *this = WorkerIndex();
}

WorkerCandidate const* WorkerIndex::find(WorkerId const& id) const
{
    auto const found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second.candidate;
}

void WorkerIndex::reserve(WorkerId const& id, Resources const& need)
{
    auto const found = this->entries.find(id);
    if (found == this->entries.end())
        return;
    Entry& entry = found->second;
    auto& byFreeCores = this->classes[entry.labelClass].byFreeCores;
    bool const isIndexed = byFreeCores.erase({ entry.candidate.free.milliCores, entry.insertionOrder });
    entry.candidate.free -= need;
    if (isIndexed)
        byFreeCores.emplace(std::make_pair(entry.candidate.free.milliCores, entry.insertionOrder), &entry);
}

std::vector<size_t> const& WorkerIndex::matchingClasses(Selector const& selector)
{
    if (this->matchCache.size() >= maxCachedSelectors)
        this->matchCache.clear();
    auto const [found, isNew] = this->matchCache.try_emplace(selector.text());
    if (!isNew)
        return found->second;
    for (size_t i = 0; i < this->classes.size(); i++) {
        if (selector.matches(this->classes[i].labels))
            found->second.push_back(i);
    }
    return found->second;
}

void WorkerIndex::shortlist(LabelClass const& labelClass, TaskSpec const& spec, std::vector<Entry const*>& result) const
{
    auto const first = labelClass.byFreeCores.lower_bound({ spec.resources.milliCores, 0 });
    auto const addIfFits = [&](Entry const* entry) {
        if (spec.resources.fitsIn(entry->candidate.free) && spec.resources.fitsIn(entry->candidate.capacity))
            result.push_back(entry);
    };
    if (spec.taskClass == TaskClass::LatencyCritical) {
        for (auto entry = labelClass.byFreeCores.end(); entry != first && result.size() < shortlistSize;)
            addIfFits((--entry)->second);
        return;
    }
    for (auto entry = first; entry != labelClass.byFreeCores.end() && result.size() < shortlistSize; ++entry)
        addIfFits(entry->second);
}

Placement WorkerIndex::choose(PlacementQuery const& query)
{
    std::vector<Entry const*> candidates;
    for (size_t const labelClass : this->matchingClasses(query.spec.workers)) {
        if (candidates.size() >= shortlistSize)
            break;
        this->shortlist(this->classes[labelClass], query.spec, candidates);
    }
    Placement placement;
    double lowestCost = std::numeric_limits<double>::infinity();
    for (auto const* entry : candidates) {
        WorkerCandidate const& candidate = entry->candidate;
        double cost = placementCost(query.spec, candidate);
        if (query.extraCost)
            cost += query.extraCost(candidate);
        if (std::find(query.avoidedWorkers.begin(), query.avoidedWorkers.end(), candidate.id) != query.avoidedWorkers.end())
            cost += avoidedWorkerCost;
        if (cost > lowestCost || (cost == lowestCost && placement.worker < candidate.id))
            continue;
        placement.worker = candidate.id;
        lowestCost = cost;
    }
    placement.fitsWhenEmpty = !placement.worker.empty();
    if (placement.fitsWhenEmpty)
        placement.reason = "lowest cost of " + std::to_string(candidates.size()) + " workers with room";
    else
        placement.reason = this->waitReason(query.spec, placement.fitsWhenEmpty);
    return placement;
}

std::string WorkerIndex::waitReason(TaskSpec const& spec, bool& fitsWhenEmpty)
{
    bool hasMatchingWorker = false;
    for (size_t const index : this->matchingClasses(spec.workers)) {
        for (auto const& [amounts, count] : this->classes[index].capacityCounts) {
            hasMatchingWorker = true;
            Resources const capacity { std::get<0>(amounts), std::get<1>(amounts), std::get<2>(amounts) };
            fitsWhenEmpty = fitsWhenEmpty || spec.resources.fitsIn(capacity);
        }
    }
    if (!hasMatchingWorker)
        return "no worker matches the selector";
    return fitsWhenEmpty ? "no matching worker has room now" : "larger than any matching worker";
}

std::vector<WorkerCandidate const*> WorkerIndex::fittingWhenEmpty(TaskSpec const& spec, size_t limit)
{
    std::vector<WorkerCandidate const*> result;
    for (size_t const labelClass : this->matchingClasses(spec.workers)) {
        for (auto const& [order, entry] : this->classes[labelClass].workers) {
            if (result.size() >= limit)
                return result;
            if (entry->candidate.canAcceptTasks && spec.resources.fitsIn(entry->candidate.capacity))
                result.push_back(&entry->candidate);
        }
    }
    return result;
}

} // namespace cornelpond
