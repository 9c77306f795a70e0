#pragma once

// Distributes the configuration to the entry hosts. The leader of the configuration's group pushes each
// new version to all hosts, and a host pulls the configuration from a peer that reports a newer version.
//
// Example:
//   ConfigExchange exchange(clock, localConfig, send);
//   exchange.push(hosts); // after a commit
//   exchange.onPeerVersion(from, report.configVersion, report.hasConfiguration);
//   exchange.onMessage(from, payload);
//
// Loop thread only.

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Span.h"
#include "cornelpond/core/config/LocalConfig.h"
#include "cornelpond/ports/Clock.h"

#include <functional>
#include <string>

namespace cornelpond {

class ConfigExchange {
public:
    using Send = std::function<void(HostId const& to, std::string payload)>;

    /// References must outlive the exchange.
    ConfigExchange(Clock const& clock, LocalConfig& localConfig, Send send);

    /// Sends the configuration in force to these hosts.
    void push(Span<HostId const> hosts);

    /// Call when a peer reports the version that it serves by. `isConfirmed` is the peer's
    /// LocalConfig::isKnown. Pulls a newer version from the peer, unless a pull of that or a later
    /// version was sent within the last 500 ms. Confirms the version in force when a confirmed peer reports the same one.
    void onPeerVersion(HostId const& from, ConfigVersion version, bool isConfirmed);

    /// Handles a pull or a pushed record; ignores other messages. Throws Error(MalformedJson) or
    /// Error(StorageDamaged) for a record that cannot be decoded.
    void onMessage(HostId const& from, std::string const& payload);

private:
    Clock const& clock;
    LocalConfig& localConfig;
    Send send;
    ConfigVersion pulledVersion; ///< The version that the last pull asked for.
    TimePoint lastPullAt;
};

} // namespace cornelpond
