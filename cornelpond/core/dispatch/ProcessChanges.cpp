#include "cornelpond/core/dispatch/ProcessChanges.h"

#include <iterator>

namespace cornelpond {

void ProcessChanges::note(WorkerId const& worker, TimePoint now)
{
    for (auto at = this->changes.begin(); at != this->changes.end();)
        at = this->isOver(at->second, now) ? this->changes.erase(at) : std::next(at);
    this->changes[worker] = now;
}

std::optional<TimePoint> ProcessChanges::find(WorkerId const& worker, TimePoint now) const
{
    auto const found = this->changes.find(worker);
    if (found == this->changes.end() || this->isOver(found->second, now))
        return std::nullopt;
    return found->second;
}

} // namespace cornelpond
