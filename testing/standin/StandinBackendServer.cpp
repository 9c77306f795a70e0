#include "testing/standin/StandinBackendServer.h"

#include <nlohmann/json.hpp>

namespace cornelpond {

namespace {

    constexpr Duration checkInterval = Duration::milliseconds(10);

    /// A connection closed by an entry host may still count as open for this long.
    constexpr Duration closeDetectionTime = Duration::milliseconds(200);

} // namespace

StandinBackendServer::StandinBackendServer(EventLoop& loop, HttpClient& client, Random& random, RecordFile& record, StandinBackendServerOptions givenOptions)
    : loop(loop)
    , client(client)
    , random(random)
    , record(record)
    , options(std::move(givenOptions))
    , server(loop, HttpLimits(), [this](HttpRequest const& request, HttpResponder const& responder) { this->answer(request, responder); })
{
}

StandinBackendServer::~StandinBackendServer()
{
    this->loop.cancel(this->timer);
}

void StandinBackendServer::start()
{
    auto& announcement = this->options.announcement;
    uint16_t const innerPort = this->server.listen({ announcement.address, 0 });
    this->proxy = std::make_unique<FaultProxy>(this->loop, this->random, Address { announcement.address, announcement.port }, Address { announcement.address, innerPort });
    this->checkLimits();
    announcement.port = this->proxy->port();
    this->announce();
}

void StandinBackendServer::leave()
{
    this->options.announcement.leaving = true;
    this->loop.cancel(this->timer);
    this->announce();
    this->stopAnnouncing();
}

void StandinBackendServer::stopAnnouncing()
{
    this->hasLeft = true;
    this->add(RecordEntry(), RecordKind::ServerLeft);
}

void StandinBackendServer::join()
{
    this->options.announcement.leaving = false;
    this->hasLeft = false;
    this->loop.cancel(this->timer);
    this->add(RecordEntry(), RecordKind::ServerJoined);
    this->announce();
}

void StandinBackendServer::announce()
{
    if (this->hasLeft)
        return;
    this->timer = this->loop.after(this->options.announceInterval, [this] { this->announce(); });
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/backend-servers/announce";
    request.body = toJson(this->options.announcement).dump();
    HttpSendOptions sendOptions;
    sendOptions.timeout = this->options.announceInterval;
    Address const host = this->options.entryHosts[this->nextHost % this->options.entryHosts.size()];
    this->client.send(host, request, sendOptions, [this](HttpOutcome const& outcome) {
        if (outcome.kind != HttpOutcome::Kind::Answered || outcome.response.status != 200)
            this->nextHost++;
    });
}

void StandinBackendServer::answer(HttpRequest const& request, HttpResponder const& responder)
{
    uint64_t const requestNumber = ++this->receivedRequests;
    RecordEntry entry;
    std::string const* key = request.headers.find("Idempotency-Key");
    entry.key = key ? *key : std::string();
    entry.request = request.path + (request.query.empty() ? "" : "?" + request.query);
    this->add(entry, RecordKind::RequestRun);
    this->requestsInFlight.insert(requestNumber);
    HttpResponse response;
    response.status = this->failsAll ? 500 : 200;
    response.headers.add("Content-Type", "text/plain");
    response.headers.add("Standin-Server", this->options.announcement.server.value());
    response.body = request.method + " " + entry.request + " " + request.body;
    responder.onClientDisconnected([this, requestNumber, entry] { this->finish(requestNumber, entry, RecordKind::RequestAbandoned); });
    auto const reply = [this, requestNumber, entry, responder, response] {
        if (responder.isClientDisconnected())
            return;
        this->finish(requestNumber, entry, RecordKind::RequestAnswered);
        responder.answer(response);
    };
    if (this->options.serviceTime == Duration())
        reply();
    else
        this->loop.after(this->options.serviceTime, reply);
}

void StandinBackendServer::finish(uint64_t requestNumber, RecordEntry entry, RecordKind kind)
{
    if (!this->requestsInFlight.erase(requestNumber))
        return;
    if (this->requestsInFlight.size() <= this->options.announcement.slots)
        this->slotExcess = LimitExcess();
    this->add(std::move(entry), kind);
}

void StandinBackendServer::add(RecordEntry entry, RecordKind kind)
{
    entry.atUs = this->loop.now().toMicroseconds();
    entry.kind = kind;
    entry.place = this->options.announcement.server.value();
    this->record.add(entry);
}

void StandinBackendServer::checkLimits()
{
    this->loop.after(checkInterval, [this] { this->checkLimits(); });
    this->checkLimit(this->slotExcess, this->requestsInFlight.size() > this->options.announcement.slots, RecordKind::SlotsExceeded);
    this->checkLimit(this->connectionExcess, this->proxy->openConnectionCount() > this->options.announcement.connections, RecordKind::ConnectionsExceeded);
}

void StandinBackendServer::checkLimit(LimitExcess& excess, bool isExceeded, RecordKind kind)
{
    TimePoint const now = this->loop.now();
    if (!isExceeded) {
        excess = LimitExcess();
        return;
    }
    if (!excess.isOngoing)
        excess = { true, false, now };
    if (excess.isRecorded || now < excess.since + closeDetectionTime)
        return;
    excess.isRecorded = true;
    this->add(RecordEntry(), kind);
}

} // namespace cornelpond
