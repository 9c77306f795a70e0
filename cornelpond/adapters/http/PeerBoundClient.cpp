#include "cornelpond/adapters/http/PeerBoundClient.h"

#include <utility>

namespace cornelpond {

PeerBoundClient::PeerBoundClient(Clock const& clock, HttpClient& client)
    : clock(clock)
    , client(client)
{
}

void PeerBoundClient::send(Address const& to, int64_t peerTag, HttpRequest const& request, PeerQuestion const& question, Duration timeout, Done done)
{
    TimePoint const deadline = this->clock.now() + timeout;
    if (this->client.hasIdleConnection(to, peerTag)) {
        this->sendIdentified(to, peerTag, request, deadline, std::move(done));
        return;
    }
    HttpSendOptions options;
    options.timeout = timeout;
    this->client.send(to, question.request, options, [this, to, peerTag, request, readTag = question.readTag, deadline, done = std::move(done)](HttpOutcome const& outcome) {
        std::optional<int64_t> const answered = readTag(outcome);
        if (answered && outcome.idleConnection)
            this->client.tagIdleConnection(to, outcome.idleConnection, *answered);
        if (answered && answered != peerTag)
            done({ PeerBoundOutcome::Kind::OtherPeer, outcome });
        else if (answered && this->client.hasIdleConnection(to, peerTag) && this->clock.now() < deadline)
            this->sendIdentified(to, peerTag, request, deadline, done);
        else
            done({ PeerBoundOutcome::Kind::Unidentified, outcome });
    });
}

/// To be called only while a connection with the tag is idle: the request is then sent on it at once, or not at all.
void PeerBoundClient::sendIdentified(Address const& to, int64_t peerTag, HttpRequest const& request, TimePoint deadline, Done done)
{
    HttpSendOptions options;
    options.timeout = deadline - this->clock.now();
    options.peerTag = peerTag;
    options.needsIdleConnection = true; // It may have been lost since, and a new one may reach another process.
    this->client.send(to, request, options, [done = std::move(done)](HttpOutcome const& outcome) { done({ PeerBoundOutcome::Kind::Sent, outcome }); });
}

} // namespace cornelpond
