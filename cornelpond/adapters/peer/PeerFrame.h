#pragma once

// The frames on a link between two entry hosts. Each frame is one CBOR array in one WebSocket message.
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

/// Incremented when the meaning of a frame changes; both ends of a link must have the same version.
constexpr uint32_t peerProtocolVersion = 1;

/// What a host understands beyond the first release of the protocol version. Bits are sent on the wire and never change
/// meaning; hosts of earlier versions ignore the field.
enum class PeerFeature : uint32_t {
    ListingChanges = 1, ///< Renewals that name a listing, and listings that contain only what has changed since.
    FastHeartbeats = 2, ///< A control host: sends heartbeats to other control hosts at the least interval, however many peers it has.
    OrderDeadlines = 4, ///< Batches of relayed orders and answers that name the sender's clock and the time until which orders hold.
    OrderProcesses = 8, ///< Relayed starts and renewals that name the process of the worker that they are meant for.
};

constexpr uint32_t ownPeerFeatures = static_cast<uint32_t>(PeerFeature::ListingChanges) | static_cast<uint32_t>(PeerFeature::OrderDeadlines)
    | static_cast<uint32_t>(PeerFeature::OrderProcesses);

/// The first frame in each direction.
struct PeerHello {
    uint32_t protocol = peerProtocolVersion;
    std::string cluster;
    HostId host;
    DataCentreId dataCentre;
    std::string token;
    Duration heartbeatInterval; ///< Time between two heartbeats of the sender.
    std::string listenIp; ///< Where the sender accepts peer connections; empty when it does not listen.
    uint16_t listenPort = 0;
    uint32_t features = 0; ///< Bits of PeerFeature.
};

/// Sent once per heartbeat interval, also when other frames were sent, so that its payload arrives regularly.
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
