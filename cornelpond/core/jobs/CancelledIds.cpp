#include "cornelpond/core/jobs/CancelledIds.h"

namespace cornelpond {

void CancelledIds::add(JobId const& job, int64_t wallMs)
{
    if (!this->jobs.insert(job).second)
        return;
    this->cancels.push_back({ job, wallMs });
    while (this->cancels.size() > maxCount || wallMs - this->cancels.front().wallMs > retentionMs) {
        this->jobs.erase(this->cancels.front().job);
        this->cancels.pop_front();
    }
}

void CancelledIds::write(ByteWriter& out) const
{
    out.number(this->cancels.size());
    for (auto const& cancel : this->cancels) {
        out.text(cancel.job.value());
        out.number(static_cast<uint64_t>(cancel.wallMs));
    }
}

CancelledIds CancelledIds::read(ByteReader& in)
{
    CancelledIds read;
    for (uint64_t remaining = in.number(); remaining; remaining--) {
        JobId const job { std::string(in.text()) };
        read.add(job, static_cast<int64_t>(in.number()));
    }
    return read;
}

} // namespace cornelpond
