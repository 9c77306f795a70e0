#pragma once

// Images by number, and how much of each stands on one worker.
//
// Example:
//   ImageNames names;
//   ImageLoads loads;
//   loads.add(names.idOf("gate-watch"), 3200, 1);
//   loads.find(names.idOf("gate-watch"))->tasks; // 1

#include "cornelpond/core/base/Ids.h"

#include <algorithm>
#include <numeric>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelpond {

using ImageId = NumberId<struct ImageIdTag>; ///< Counts the images that one leader has met, from 1.

class ImageIdTable {
public:
    ImageId idOf(std::string const& name) { return this->ids.try_emplace(name, this->ids.size() + 1).first->second; }

private:
    std::unordered_map<std::string, ImageId> ids;
};

struct ImageLoad {
    ImageId image;
    int taskCount = 0;
    int64_t requestedMilliCores = 0; ///< Asked for.
};

/// A handful of images; looked through in order.
class ImageLoads {
public:
    ImageLoad const* find(ImageId image) const
    {
        auto const found = std::find_if(this->loads.begin(), this->loads.end(), [&](auto const& load) { return load.image == image; });
        return found == this->loads.end() ? nullptr : &*found;
    }

    /// Adds one task, or takes one out with `direction` -1.
    void add(ImageId image, int64_t milliCores, int direction)
    {
        auto found = std::find_if(this->loads.begin(), this->loads.end(), [&](auto const& load) { return load.image == image; });
        if (found == this->loads.end())
            found = this->loads.insert(this->loads.end(), { image, 0, 0 });
        found->taskCount += direction;
        found->requestedMilliCores += milliCores * direction;
        if (!found->taskCount)
            this->loads.erase(found);
    }

    int64_t requestedMilliCores() const
    {
        return std::accumulate(this->loads.begin(), this->loads.end(), int64_t(), [](int64_t sum, ImageLoad const& load) { return sum + load.requestedMilliCores; });
    }

    bool empty() const { return this->loads.empty(); }
    size_t size() const { return this->loads.size(); }
    auto begin() const { return this->loads.begin(); }
    auto end() const { return this->loads.end(); }

private:
    std::vector<ImageLoad> loads;
};

} // namespace cornelpond
