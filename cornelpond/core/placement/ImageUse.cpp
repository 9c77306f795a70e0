#include "cornelpond/core/placement/ImageUse.h"

#include <algorithm>

namespace cornelpond {

ImageUse::ImageUse(ImageUseLimits limits)
    : limits(limits)
{
}

void ImageUse::observe(WorkerView const& worker, TimePoint now)
{
    for (auto const& [key, attempt] : worker.placed) {
        bool const isAtFullSpeed = attempt.throttle == fullSpeed && attempt.throttleSent == fullSpeed && now - attempt.throttledAt >= this->limits.settle;
        bool const isAtWork = attempt.phase == PlacedAttempt::Phase::Running && attempt.figure >= 0 && now - attempt.confirmedAt >= this->limits.settle;
        if (!attempt.isBestEffort() || !isAtFullSpeed || !isAtWork || !attempt.stage->need.milliCores)
            continue;
        double const share = std::clamp(static_cast<double>(attempt.figure) / static_cast<double>(attempt.stage->need.milliCores), this->limits.least, 1.0);
        auto const [known, isNew] = this->shares.emplace(attempt.image.value(), share);
        if (!isNew)
            known->second += (share - known->second) * (share > known->second ? this->limits.rise : this->limits.fall);
    }
}

double ImageUse::expected(ImageId image, int64_t askedMilliCores) const
{
    auto const known = this->shares.find(image.value());
    return static_cast<double>(askedMilliCores) * (known == this->shares.end() ? 1.0 : known->second);
}

} // namespace cornelpond
