#include "testing/soak/WorkerServer.h"

#include <nlohmann/json.hpp>

#include <array>
#include <sstream>

namespace cornelpond {

using Json = nlohmann::json;

namespace {

    constexpr int conflict = 409;
    constexpr int misdirected = 421;
    constexpr int badRequest = 400;

    /// Parses "JOB.OCCURRENCE.STAGE.INDEX".
    TaskRef parseTask(std::string const& text)
    {
        std::istringstream parts(text);
        std::array<std::string, 4> part;
        for (auto& each : part)
            std::getline(parts, each, '.');
        auto const number = [](std::string const& digits) { return static_cast<uint32_t>(std::stoul(digits)); };
        return { JobId(part[0]), number(part[1]), number(part[2]), number(part[3]) };
    }

    HttpResponse json(int status, Json const& body)
    {
        HttpResponse response;
        response.status = status;
        response.headers.add("Content-Type", "application/json");
        response.body = body.dump();
        return response;
    }

    bool isLeftUnanswered(OrderResult result)
    {
        return result == OrderResult::Unknown || result == OrderResult::NotSent;
    }

    void answerOrder(OrderAnswer const& answer, HttpResponder const& responder)
    {
        Json body { { "clock-ms", answer.workerClock.toMilliseconds() } };
        auto const refuse = [&](char const* reason) {
            body["reason"] = reason;
            responder.answer(json(conflict, body));
        };
        switch (answer.result) {
        case OrderResult::Accepted:
            return responder.answer(json(200, body));
        case OrderResult::RefusedEpoch:
            return refuse("fence");
        case OrderResult::RefusedOld:
            return refuse("old");
        case OrderResult::RefusedLate:
            return refuse("late");
        case OrderResult::RefusedRoom:
            return refuse("room");
        case OrderResult::OtherLife:
            return responder.answer(json(misdirected, body));
        case OrderResult::Invalid:
            return responder.answer(json(badRequest, body));
        default:
            return;
        }
    }

    constexpr char const* oddPlaceholder = "odd value";

    /// Serializes the body with one of several odd values in place of the placeholder. Some are no JSON that this
    /// program could build.
    std::string dumpWithOddValue(Json const& body, Random& random)
    {
        constexpr size_t depth = 5000;
        std::array<std::string, 6> const values { std::string(depth, '[') + std::string(depth, ']'), "1e999", "-1", R"({"cpu":[1]})", "[7]", "[[" };
        std::string text = body.dump();
        std::string const quoted = Json(oddPlaceholder).dump();
        return text.replace(text.find(quoted), quoted.size(), values.at(random.below(values.size())));
    }

    /// Puts an odd value in place of a field of the listing or behind the rows of one of its lists.
    std::string dumpOddListing(Json listing, Random& random)
    {
        constexpr std::array<char const*, 4> fields { "running", "ended", "born", "clock-ms" };
        Json& field = listing[fields.at(random.below(fields.size()))];
        if (field.is_array() && random.below(2))
            field.push_back(oddPlaceholder);
        else
            field = oddPlaceholder;
        return dumpWithOddValue(listing, random);
    }

    char const* attemptEndWord(AttemptEnd end)
    {
        switch (end) {
        case AttemptEnd::Done:
            return "done";
        case AttemptEnd::Failed:
            return "failed";
        case AttemptEnd::Stopped:
            return "stopped";
        default:
            return "lapsed";
        }
    }

    Json listingJson(RenewAnswer const& answer)
    {
        Json running = Json::array();
        for (auto const& row : answer.listing.running)
            running.push_back({ row.task.text(), row.attempt.value(), row.checkpoint, row.progressPercent, row.latencyMsOrMilliCores });
        Json ended = Json::array();
        for (auto const& end : answer.listing.ended)
            ended.push_back({ end.number, end.task.text(), end.attempt.value(), attemptEndWord(end.end), end.checkpoint });
        return { { "clock-ms", answer.order.workerClock.toMilliseconds() }, { "born", answer.listing.bornMs }, { "running", running }, { "ended", ended } };
    }

} // namespace

WorkerServer::WorkerServer(EventLoop& loop, FakeFleet& fleet, WorkerId worker)
    : fleet(fleet)
    , target { std::move(worker), "", DataCentreId() }
    , server(loop, HttpLimits(), [this](HttpRequest const& request, HttpResponder const& responder) { this->handle(request, responder); })
{
}

HttpRequest WorkerServer::makeHeartbeat(WorkerReport const& report, std::string const& address)
{
    WorkerProfile const& profile = report.profile;
    Json body { { "service", profile.service.value() }, { "address", address }, { "zone", profile.dataCentre.empty() ? "z1" : profile.dataCentre.value() }, { "version", "v1" }, { "slots", 8 }, { "state", profile.isDraining ? "draining" : "ready" },
        { "cold-remaining-ms", 0 }, { "capacity", { { "cpu", profile.capacity.milliCores }, { "memory-request-mb", profile.capacity.memoryMiB }, { "gpu", 0 } } },
        { "labels", profile.labels }, { "born", profile.bornMs }, { "sequence", report.sequence } };
    if (profile.isDraining)
        body["drain-remaining-ms"] = report.drainRemaining.toMilliseconds();
    HttpRequest request { "POST", "/v1/instances/" + profile.id.value() + "/heartbeat", "", {}, body.dump() };
    request.headers.add("Content-Type", "application/json");
    return request;
}

HttpRequest WorkerServer::makeOddHeartbeat(WorkerReport const& report, std::string const& address, Random& random)
{
    constexpr std::array<char const*, 8> fields { "address", "state", "capacity", "labels", "born", "sequence", "service", "zone" };
    HttpRequest request = makeHeartbeat(report, address);
    Json body = Json::parse(request.body);
    uint64_t const field = random.below(fields.size() + 1);
    if (field == fields.size())
        body["address"] = "127.0.0.1:99999";
    else
        body[fields.at(field)] = oddPlaceholder;
    request.body = field == fields.size() ? body.dump() : dumpWithOddValue(body, random);
    return request;
}

void WorkerServer::handle(HttpRequest const& request, HttpResponder const& responder)
{
    std::string const* expected = request.headers.find("X-Expected-Instance");
    Json const body = Json::parse(request.body, nullptr, false);
    if (this->onOrder)
        this->onOrder(request.path + " " + request.body);
    if (expected && *expected != this->target.id.value())
        responder.answer(json(misdirected, Json::object()));
    else if (!body.is_object())
        responder.answer(json(badRequest, Json::object()));
    else if (request.path == "/v1/hold")
        this->renew(body, responder);
    else
        this->handleOrder(request.path, body, responder);
}

void WorkerServer::handleOrder(std::string const& path, Json const& body, HttpResponder const& responder)
{
    auto const answer = [responder](OrderAnswer const& given) { answerOrder(given, responder); };
    TaskRef const task = parseTask(body.at("task").get<std::string>());
    AttemptNumber const attempt(body.at("run").get<uint64_t>());
    Term const epoch(body.value("fencing-token", uint64_t()));
    if (path == "/v1/run-start") {
        if (this->onStartOrder)
            this->onStartOrder(task);
        StartOrder start { task, attempt, body.value("task-spec", ""), Duration::milliseconds(body.at("until-ms").get<int64_t>()), epoch, body.value("checkpoint", ""), "", this->fleet.processBornMs(this->target.id) };
        this->fleet.start(this->target, start, answer);
    } else if (path == "/v1/run-stop") {
        this->fleet.stop(this->target, { task, attempt, epoch }, answer);
    } else if (path == "/v1/pace") {
        this->fleet.throttle(this->target, { task, attempt, body.at("percent").get<unsigned>(), epoch }, answer);
    } else {
        responder.answer(json(badRequest, Json::object()));
    }
}

void WorkerServer::renew(Json const& body, HttpResponder const& responder)
{
    RenewOrder order;
    order.extendsLease = body.contains("until-ms");
    order.leaseUntil = Duration::milliseconds(body.value("until-ms", int64_t()));
    order.epoch = Term(body.value("fencing-token", uint64_t()));
    order.acknowledgedEnds = body.value("last-seen", uint64_t());
    order.maxWait = Duration::milliseconds(body.value("wait-ms", int64_t()));
    order.processBornMs = this->fleet.processBornMs(this->target.id);
    this->fleet.renew(this->target, order, [this, responder](RenewAnswer const& answer) {
        constexpr uint64_t listingsPerOddOne = 3;
        if (answer.order.result == OrderResult::Accepted) {
            HttpResponse response = json(200, listingJson(answer));
            if (this->oddListings && !this->oddListings->below(listingsPerOddOne))
                response.body = dumpOddListing(listingJson(answer), *this->oddListings);
            responder.answer(response);
        } else if (!isLeftUnanswered(answer.order.result)) {
            answerOrder(answer.order, responder);
        }
    });
}

} // namespace cornelpond
