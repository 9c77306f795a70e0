#pragma once

// The configuration in force at one entry host. It may come from the replicated log, a push, a pull or
// the host's own disk; its version never falls.
//
// Example:
//   LocalConfig localConfig({ serveBy, storeOnDisk });
//   localConfig.restore(bytesFromDisk);
//   if (localConfig.accept(record))
//       log("in force");
//
// Loop thread only.

#include "cornelpond/core/config/ConfigTable.h"

namespace cornelpond {

struct LocalConfigHooks {
    std::function<void(ConfigRecord const&)> onVersionChange; ///< A new version is in force; serve by it from now on.
    std::function<void(std::string const& bytes)> persist; ///< Write durably; must not throw.
};

class LocalConfig {
public:
    explicit LocalConfig(LocalConfigHooks hooks);

    /// Restores what `persist` was given in an earlier run. Throws Error(MalformedJson) or
    /// Error(StorageDamaged).
    void restore(std::string const& bytes);

    /// Puts a committed version in force. False when it is not newer than the present one.
    bool accept(ConfigRecord const& record);

    /// Call when the present version is confirmed: this host leads the configuration's group, or a peer
    /// whose version is known reports the same version.
    void confirm();

    /// True once this host has a version from its disk, its group or a peer. Before that it must not serve
    /// by the default configuration.
    bool isKnown() const { return this->known; }

    ConfigRecord const& current() const { return this->record; }

private:
    LocalConfigHooks hooks;
    ConfigRecord record;
    bool known = false;
};

} // namespace cornelpond
