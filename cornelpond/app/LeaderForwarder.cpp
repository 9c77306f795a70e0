#include "cornelpond/app/LeaderForwarder.h"

#include "cornelpond/core/base/Cbor.h"

#include <variant>
#include <vector>

namespace cornelpond {

namespace {

    enum class MessageKind : uint8_t {
        Request = 1,
        Answer = 2,
    };

    constexpr uint64_t requestFieldCount = 8;
    constexpr uint64_t answerFieldCount = 4; ///< Without headers, each of which adds two.

    std::string readString(CborReader& in)
    {
        return std::string(in.bytes());
    }

    std::string encodeRequest(uint64_t id, ForwardedRequest const& forwarded)
    {
        HttpRequest const& request = forwarded.request;
        CborWriter out;
        out.array(requestFieldCount);
        out.number(static_cast<uint64_t>(MessageKind::Request));
        out.number(id);
        out.bytes(forwarded.group.value());
        out.number(static_cast<uint64_t>(forwarded.api));
        out.bytes(request.method);
        out.bytes(request.path);
        out.bytes(request.query);
        out.bytes(request.body);
        return out.take();
    }

    /// Reads what follows the id.
    ForwardedRequest readRequest(CborReader& in)
    {
        ForwardedRequest forwarded;
        forwarded.group = GroupId(readString(in));
        forwarded.api = static_cast<ApiKind>(in.number(UINT8_MAX));
        forwarded.request.method = readString(in);
        forwarded.request.path = readString(in);
        forwarded.request.query = readString(in);
        forwarded.request.body = readString(in);
        in.expectEnd();
        return forwarded;
    }

    std::string encodeAnswer(uint64_t id, HttpResponse const& response)
    {
        CborWriter out;
        out.array(answerFieldCount + 2 * response.headers.all().size());
        out.number(static_cast<uint64_t>(MessageKind::Answer));
        out.number(id);
        out.number(static_cast<uint64_t>(response.status));
        out.bytes(response.body);
        for (auto const& header : response.headers.all()) {
            out.bytes(header.name);
            out.bytes(header.value);
        }
        return out.take();
    }

    /// Reads what follows the id.
    HttpResponse readAnswer(CborReader& in, uint64_t fieldCount)
    {
        constexpr uint64_t maxStatus = 999;
        if (fieldCount < answerFieldCount || fieldCount % 2)
            CborReader::fail();
        HttpResponse response;
        response.status = static_cast<int>(in.number(maxStatus));
        response.body = readString(in);
        for (uint64_t remaining = fieldCount - answerFieldCount; remaining; remaining -= 2) {
            std::string const name = readString(in);
            response.headers.add(name, readString(in));
        }
        in.expectEnd();
        return response;
    }

} // namespace

LeaderForwarder::LeaderForwarder(Timers& timers, Transport& transport, uint64_t firstId, Serve serve)
    : timers(timers)
    , transport(transport)
    , serve(std::move(serve))
    , nextId(firstId)
{
}

LeaderForwarder::~LeaderForwarder()
{
    for (auto const& [id, request] : this->pendingRequests)
        this->timers.cancel(request.timer);
}

void LeaderForwarder::forward(HostId const& leader, ForwardedRequest const& request, Duration timeout, ApiAnswerCallback answer)
{
    uint64_t const id = this->nextId++;
    TimerId const timer = this->timers.after(timeout, [this, id] { this->finish(id, refusal(ResultCode::ForwardFailed, "the leader did not answer in time")); });
    this->pendingRequests.emplace(id, PendingRequest { leader, std::move(answer), timer });
    this->transport.send(leader, { PeerChannel::Forward, encodeRequest(id, request) });
}

void LeaderForwarder::onMessage(HostId const& from, std::string const& payload)
{
    uint64_t id = 0;
    std::variant<ForwardedRequest, HttpResponse> content;
    try {
        CborReader in(payload);
        uint64_t const fieldCount = in.array();
        auto const kind = static_cast<MessageKind>(in.number(UINT8_MAX));
        id = in.number();
        if (kind == MessageKind::Request && fieldCount == requestFieldCount)
            content = readRequest(in);
        else if (kind == MessageKind::Answer)
            content = readAnswer(in, fieldCount);
        else
            return;
    } catch (Error const&) {
        return; // Sent by a faulty peer; its request times out.
    }
    if (auto const* request = std::get_if<ForwardedRequest>(&content)) {
        this->serveRemote(from, id, *request);
        return;
    }
    auto const found = this->pendingRequests.find(id);
    if (found != this->pendingRequests.end() && found->second.leader == from)
        this->finish(id, std::get<HttpResponse>(content));
}

void LeaderForwarder::serveRemote(HostId const& from, uint64_t id, ForwardedRequest const& request)
{
    this->serve(request, [this, from, id](HttpResponse const& response) { this->transport.send(from, { PeerChannel::Forward, encodeAnswer(id, response) }); });
}

void LeaderForwarder::onPeerDown(HostId const& peer)
{
    std::vector<uint64_t> lost;
    for (auto const& [id, request] : this->pendingRequests) {
        if (request.leader == peer)
            lost.push_back(id);
    }
    for (uint64_t const id : lost)
        this->finish(id, refusal(ResultCode::ForwardFailed, "the link to the leader broke"));
}

void LeaderForwarder::finish(uint64_t id, HttpResponse const& response)
{
    auto const found = this->pendingRequests.find(id);
    if (found == this->pendingRequests.end())
        return;
    PendingRequest const request = std::move(found->second);
    this->pendingRequests.erase(found);
    this->timers.cancel(request.timer);
    request.answer(response);
}

} // namespace cornelpond
