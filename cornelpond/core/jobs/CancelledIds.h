#pragma once

// The jobs that were cancelled and have no record: no submission of them was committed before, or the record has been
// removed since. A submission that was held up on its way must not start a job whose cancel has been acknowledged.
//
// Example:
//   CancelledIds cancels;
//   cancels.add(JobId("plan-7"), wallMs);
//   if (cancels.contains(id))
//       refuse(id);
//
// Bounded: forgets the oldest, also those much older than the last one added.

#include "cornelpond/core/base/ByteCodec.h"
#include "cornelpond/core/jobs/JobSpec.h"

#include <deque>
#include <unordered_set>

namespace cornelpond {

class CancelledIds {
public:
    static constexpr size_t maxCount = 10000;
    static constexpr int64_t retentionMs = 600'000;

    /// Does nothing for a job that is contained.
    void add(JobId const& job, int64_t wallMs);
    bool contains(JobId const& job) const { return this->jobs.count(job); }
    bool empty() const { return this->jobs.empty(); }

    void write(ByteWriter& out) const;
    /// Throws Error(MalformedMessage).
    static CancelledIds read(ByteReader& in);

private:
    struct Cancel {
        JobId job;
        int64_t wallMs = 0;
    };

    std::deque<Cancel> cancels; ///< Oldest first.
    std::unordered_set<JobId> jobs;
};

} // namespace cornelpond
