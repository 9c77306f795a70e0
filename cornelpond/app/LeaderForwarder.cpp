#include "cornelpond/app/LeaderForwarder.h"

#include "cornelpond/core/base/Json.h"

#include <nlohmann/json.hpp>

#include <variant>
#include <vector>

namespace cornelpond {

namespace {

    enum class MessageKind : uint8_t {
        Request = 1,
        Answer = 2,
    };

    nlohmann::json binary(std::string const& bytes)
    {
        return nlohmann::json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
    }

    std::string bytesAt(nlohmann::json const& fields, size_t index)
    {
        auto const& bytes = fields.at(index).get_binary();
        return { bytes.begin(), bytes.end() };
    }

    std::string encodeRequest(uint64_t id, ForwardedRequest const& forwarded)
    {
        HttpRequest const& request = forwarded.request;
        return toCbor(nlohmann::json::array({ static_cast<uint8_t>(MessageKind::Request), id, binary(forwarded.group.value()), static_cast<uint8_t>(forwarded.api),
            binary(request.method), binary(request.path), binary(request.query), binary(request.body) }));
    }

    ForwardedRequest requestFrom(nlohmann::json const& fields)
    {
        ForwardedRequest forwarded;
        forwarded.group = GroupId(bytesAt(fields, 2));
        forwarded.api = static_cast<ApiKind>(wholeNumber(fields.at(3), UINT8_MAX));
        forwarded.request.method = bytesAt(fields, 4);
        forwarded.request.path = bytesAt(fields, 5);
        forwarded.request.query = bytesAt(fields, 6);
        forwarded.request.body = bytesAt(fields, 7);
        return forwarded;
    }

    std::string encodeAnswer(uint64_t id, HttpResponse const& response)
    {
        nlohmann::json fields = nlohmann::json::array({ static_cast<uint8_t>(MessageKind::Answer), id, response.status, binary(response.body) });
        for (auto const& header : response.headers.all()) {
            fields.push_back(binary(header.name));
            fields.push_back(binary(header.value));
        }
        return toCbor(fields);
    }

    HttpResponse answerFrom(nlohmann::json const& fields)
    {
        HttpResponse response;
        constexpr uint64_t maxStatus = 999;
        response.status = static_cast<int>(wholeNumber(fields.at(2), maxStatus));
        response.body = bytesAt(fields, 3);
        for (size_t i = 4; i + 1 < fields.size(); i += 2)
            response.headers.add(bytesAt(fields, i), bytesAt(fields, i + 1));
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
        nlohmann::json const fields = fromCbor(payload);
        auto const kind = static_cast<MessageKind>(wholeNumber(fields.at(0), UINT8_MAX));
        id = wholeNumber(fields.at(1));
        if (kind == MessageKind::Request)
            content = requestFrom(fields);
        else if (kind == MessageKind::Answer)
            content = answerFrom(fields);
        else
            return;
    } catch (nlohmann::json::exception const&) {
        return; // Sent by a faulty peer; its request times out.
    } catch (Error const&) {
        return;
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
