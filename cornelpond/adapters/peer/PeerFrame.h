#pragma once

// The frames on a link between two entry hosts: CBOR, one value a WebSocket message.
//
// Example:
//   connection.send(encode(PeerHello { peerProtocolVersion, "awnings", HostId("h1"), ... }));
//   PeerFrame const frame = decodePeerFrame(bytes);
//   if (auto const* hello = std::get_if<PeerHello>(&frame))
//       check(*hello);

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"
#include "cornelpond/ports/Transport.h"

#include <string>
#include <string_view>
#include <variant>

namespace cornelpond {

/// Raised when a frame changes its meaning; both ends of a link must agree on it.
constexpr uint32_t peerProtocolVersion = 1;

/// The first frame in each direction.
struct PeerHello {
    uint32_t protocol = peerProtocolVersion;
    std::string cluster;
    HostId host;
    DataCentreId dataCentre;
    std::string token;
    Duration heartbeatInterval; ///< How often the sender speaks at least.
    std::string listenIp; ///< Where the sender accepts peers; empty when nowhere.
    uint16_t listenPort = 0;
};

/// Sent once a heartbeat interval, whatever else was sent: its payload is news.
struct PeerHeartbeat {
    std::string payload; ///< Opaque to the link.
};

using PeerFrame = std::variant<PeerHello, PeerHeartbeat, PeerMessage>;

std::string encode(PeerHello const& hello);
std::string encode(PeerHeartbeat const& heartbeat);
std::string encode(PeerMessage const& message);

/// Throws Error(MalformedJson) for anything that is not one whole frame.
PeerFrame decodePeerFrame(std::string_view bytes);

} // namespace cornelpond
