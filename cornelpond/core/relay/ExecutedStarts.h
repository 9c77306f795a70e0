#pragma once

// The latest starts that a relay sent to workers, so that the log line of a stop can tell what became of the start before it.
//
// Example:
//   ExecutedStarts starts(50000);
//   starts.onSent(ExecutedStarts::keyOf(task, attempt, worker), now);
//   starts.onAnswered(key, OrderResult::Accepted);
//   if (ExecutedStart const* start = starts.find(key))
//       log(start->sentAt);

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/ports/WorkerOrders.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace cornelpond {

struct ExecutedStart {
    TimePoint sentAt; ///< Of the first order for the attempt.
    unsigned orders = 0;
    std::optional<OrderResult> result; ///< Of the latest order that was answered or given up; unset: none was.
};

class ExecutedStarts {
public:
    /// Of an attempt on a worker. A hash: the starts are for the log only.
    using Key = uint64_t;

    explicit ExecutedStarts(size_t maxStarts)
        : maxStarts(maxStarts)
    {
    }

    static Key keyOf(TaskRef const& task, AttemptNumber attempt, WorkerId const& worker);

    /// Forgets the oldest start when there are too many.
    void onSent(Key key, TimePoint now);
    void onAnswered(Key key, OrderResult result);
    /// Null when none was sent, or it was forgotten.
    ExecutedStart const* find(Key key) const;

private:
    size_t maxStarts;
    std::map<Key, ExecutedStart> starts;
    std::deque<Key> order; ///< By their first order.
};

} // namespace cornelpond
