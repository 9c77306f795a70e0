#include "cornelpond/core/relay/ExecutedStarts.h"

#include "cornelpond/core/base/StableHash.h"

#include <string>

namespace cornelpond {

ExecutedStarts::Key ExecutedStarts::keyOf(TaskRef const& task, AttemptNumber attempt, WorkerId const& worker)
{
    return stableHash(task.text() + '/' + std::to_string(attempt.value()) + '@' + worker.value(), 0);
}

void ExecutedStarts::onSent(Key key, TimePoint now)
{
    auto const [entry, isNew] = this->starts.try_emplace(key);
    entry->second.orders++;
    if (!isNew)
        return;
    entry->second.sentAt = now;
    this->order.push_back(key);
    if (this->order.size() <= this->maxStarts)
        return;
    this->starts.erase(this->order.front());
    this->order.pop_front();
}

void ExecutedStarts::onAnswered(Key key, OrderResult result)
{
    auto const found = this->starts.find(key);
    if (found != this->starts.end())
        found->second.result = result;
}

ExecutedStart const* ExecutedStarts::find(Key key) const
{
    auto const found = this->starts.find(key);
    return found == this->starts.end() ? nullptr : &found->second;
}

} // namespace cornelpond
