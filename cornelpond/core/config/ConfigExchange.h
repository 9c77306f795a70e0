#pragma once

// Spreads the configuration among the entry hosts: the leader of its group pushes each new version to
// all, and a host that hears of a newer version pulls it.
//
// Example:
//   ConfigExchange exchange(clock, follower, send);
//   exchange.push(hosts); // after a commit
//   exchange.onPeerVersion(from, report.configVersion, report.knowsConfiguration);
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
    ConfigExchange(Clock const& clock, LocalConfig& follower, Send send);

    /// Sends the version in force to these hosts.
    void push(Span<HostId const> hosts);

    /// A peer told which version it serves by, and whether it is sure that this is the last it can know.
    void onPeerVersion(HostId const& from, ConfigVersion version, bool isSure);

    /// Throws Error(MalformedJson) or Error(StorageDamaged) for a message that does not decode.
    void onMessage(HostId const& from, std::string const& payload);

private:
    Clock const& clock;
    LocalConfig& localConfig;
    Send send;
    ConfigVersion pulledVersion; ///< The version asked for last.
    TimePoint lastPullAt;
};

} // namespace cornelpond
