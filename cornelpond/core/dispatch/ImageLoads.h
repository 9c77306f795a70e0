#pragma once

// Numeric ids of images, and the number of tasks and requested cores of each image on one worker.
//
// Example:
//   ImageIdTable ids;
//   ImageLoads loads;
//   loads.add(ids.idOf("gate-watch"), 3200, 1);
//   loads.find(ids.idOf("gate-watch"))->taskCount; // 1

#include "cornelpond/core/base/Ids.h"

#include <algorithm>
#include <numeric>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelpond {

using ImageId = NumberId<struct ImageIdTag>; ///< Numbered from 1 in the order in which one process first meets the images.

class ImageIdTable {
public:
    ImageId idOf(std::string const& name) { return this->ids.try_emplace(name, this->ids.size() + 1).first->second; }

private:
    std::unordered_map<std::string, ImageId> ids;
};

struct ImageLoad {
    ImageId image;
    int taskCount = 0;
    int64_t requestedMilliCores = 0;
};

/// The images on one worker. Searched linearly, as they are few.
class ImageLoads {
public:
    ImageLoad const* find(ImageId image) const
    {
        auto const found = std::find_if(this->loads.begin(), this->loads.end(), [&](auto const& load) { return load.image == image; });
        return found == this->loads.end() ? nullptr : &*found;
    }

    /// Adds one task of the image (`direction` 1) or removes one (`direction` -1).
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
