#include "cornelpond/adapters/peer/PeerFrame.h"

#include "cornelpond/core/base/Cbor.h"
#include "cornelpond/core/base/Json.h"
#include "cornelpond/core/base/ResultCode.h"

#include <nlohmann/json.hpp>

#include <optional>
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
        constexpr size_t featuresIndex = 9;
        if (fields.size() > featuresIndex)
            hello.features = static_cast<uint32_t>(wholeNumber(fields.at(featuresIndex), UINT32_MAX));
        return hello;
    }

    PeerHello decodeHello(std::string_view bytes)
    {
        try {
            return parseHello(fromCbor(bytes));
        } catch (nlohmann::json::exception const& error) {
            throw Error(ResultCode::MalformedJson, std::string("peer hello: ") + error.what());
        }
    }

    /// Without an intermediate JSON value, as hosts exchange up to some megabytes a second.
    std::string encodeFrame(FrameKind kind, std::optional<PeerChannel> channel, std::string_view payload)
    {
        CborWriter out;
        constexpr size_t maxFieldCount = 3;
        out.reserve((maxFieldCount + 1) * CborWriter::maxHeadBytes + payload.size());
        out.array(channel ? 3 : 2);
        out.number(static_cast<uint64_t>(kind));
        if (channel)
            out.number(static_cast<uint64_t>(*channel));
        out.bytes(payload);
        return out.take();
    }

    std::string readPayload(CborReader& in)
    {
        std::string payload(in.bytes());
        in.expectEnd();
        return payload;
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
        hello.features,
    }));
}

std::string encode(PeerHeartbeat const& heartbeat)
{
    return encodeFrame(FrameKind::Heartbeat, std::nullopt, heartbeat.payload);
}

std::string encode(PeerMessage const& message)
{
    return encodeFrame(FrameKind::Message, message.channel, message.payload);
}

PeerFrame decodePeerFrame(std::string_view bytes)
{
    CborReader in(bytes);
    uint64_t const fieldCount = in.array();
    switch (static_cast<FrameKind>(in.number(UINT8_MAX))) {
    case FrameKind::Hello:
        return decodeHello(bytes);
    case FrameKind::Heartbeat:
        if (fieldCount != 2)
            CborReader::fail();
        return PeerHeartbeat { readPayload(in) };
    case FrameKind::Message: {
        if (fieldCount != 3)
            CborReader::fail();
        auto const channel = static_cast<PeerChannel>(in.number(UINT8_MAX));
        return PeerMessage { channel, readPayload(in) };
    }
    }
    throw Error(ResultCode::MalformedJson, "peer frame of an unknown kind");
}

} // namespace cornelpond
