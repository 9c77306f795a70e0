#pragma once

// The configuration in force at one entry host, whoever brought it: the replicated log, a push, a pull
// or the host's own disk. Its version only rises.
//
// Example:
//   ConfigFollower follower({ serveBy, storeOnDisk, announce });
//   follower.restore(bytesFromDisk);
//   if (follower.accept(record))
//       log("in force");
//
// Loop thread only.

#include "cornelpond/core/config/ConfigTable.h"

namespace cornelpond {

struct LocalConfigHooks {
    std::function<void(ConfigRecord const&)> onVersionChange; ///< Serve by this from now on.
    std::function<void(std::string const& bytes)> persist; ///< Keep durably; must not throw.
};

class LocalConfig {
public:
    explicit LocalConfig(LocalConfigHooks hooks);

    /// Takes what `persist` was given in an earlier run. Throws Error(StorageDamaged).
    void restore(std::string const& bytes);

    /// Puts a committed version in force; false when it is not newer than the present one.
    bool accept(ConfigRecord const& record);

    /// The present version is confirmed by someone who knows: the group's leader or a host that is sure.
    void confirm();

    /// False until this host has a version from its disk, its group or a peer; it must not serve by
    /// defaults before.
    bool isKnown() const { return this->known; }

    ConfigRecord const& current() const { return this->record; }

private:
    LocalConfigHooks hooks;
    ConfigRecord record;
    bool known = false;
};

} // namespace cornelpond
