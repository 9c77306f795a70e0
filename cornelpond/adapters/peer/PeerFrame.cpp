#include "cornelpond/adapters/peer/PeerFrame.h"

#include "cornelpond/core/base/Json.h"
#include "cornelpond/core/base/ResultCode.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace cornelpond {

namespace {

    /// Sent on the wire, so the numbers must not change meaning.
    enum class FrameKind : uint8_t {
        Hello = 0,
        Heartbeat = 1,
        Message = 2,
    };

    nlohmann::json toBinary(std::string const& bytes)
    {
        return nlohmann::json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
    }

    std::string binaryField(nlohmann::json const& fields, size_t index)
    {
        auto const& bytes = fields.at(index).get_binary();
        return { bytes.begin(), bytes.end() };
    }

    PeerHello parseHello(nlohmann::json const& fields)
    {
        PeerHello hello;
        hello.protocol = static_cast<uint32_t>(wholeNumber(fields.at(1), UINT32_MAX));
        hello.cluster = fields.at(2).get<std::string>();
        hello.host = HostId(fields.at(3).get<std::string>());
        hello.dataCentre = DataCentreId(fields.at(4).get<std::string>());
        hello.token = binaryField(fields, 5);
        hello.heartbeatInterval = Duration::milliseconds(static_cast<int64_t>(wholeNumber(fields.at(6), UINT32_MAX)));
        hello.listenIp = fields.at(7).get<std::string>();
        hello.listenPort = static_cast<uint16_t>(wholeNumber(fields.at(8), UINT16_MAX));
        return hello;
    }

    PeerFrame parseFrame(nlohmann::json const& fields)
    {
        switch (static_cast<FrameKind>(wholeNumber(fields.at(0), UINT8_MAX))) {
        case FrameKind::Hello:
            return parseHello(fields);
        case FrameKind::Heartbeat:
            return PeerHeartbeat { binaryField(fields, 1) };
        case FrameKind::Message:
            return PeerMessage { static_cast<PeerChannel>(wholeNumber(fields.at(1), UINT8_MAX)), binaryField(fields, 2) };
        }
        throw Error(ResultCode::MalformedJson, "peer frame of an unknown kind");
    }

} // namespace

std::string encode(PeerHello const& hello)
{
    return toCbor(nlohmann::json::array({
        static_cast<uint8_t>(FrameKind::Hello),
        hello.protocol,
        hello.cluster,
        hello.host.value(),
        hello.dataCentre.value(),
        toBinary(hello.token),
        hello.heartbeatInterval.toMilliseconds(),
        hello.listenIp,
        hello.listenPort,
    }));
}

std::string encode(PeerHeartbeat const& heartbeat)
{
    return toCbor(nlohmann::json::array({ static_cast<uint8_t>(FrameKind::Heartbeat), toBinary(heartbeat.payload) }));
}

std::string encode(PeerMessage const& message)
{
    return toCbor(nlohmann::json::array({ static_cast<uint8_t>(FrameKind::Message), static_cast<uint8_t>(message.channel), toBinary(message.payload) }));
}

PeerFrame decodePeerFrame(std::string_view bytes)
{
    try {
        return parseFrame(fromCbor(bytes));
    } catch (nlohmann::json::exception const& error) {
        throw Error(ResultCode::MalformedJson, std::string("peer frame: ") + error.what());
    }
}

} // namespace cornelpond
