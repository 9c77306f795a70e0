#pragma once

// Serves one worker of the fake fleet over HTTP: passes the orders of the platform to it and returns its answers.
//
// Example:
//   WorkerServer server(loop, fleet, WorkerId("w1"));
//   uint16_t const port = server.listen({ "127.0.0.1", 0 });
//
// An order that the fake worker leaves unanswered gets no HTTP answer. Starts and leases are carried out by the process of the
// worker that read them, never by a later one.

#include "cornelpond/adapters/http/HttpServer.h"
#include "testing/fakes/FakeFleet.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>

namespace cornelpond {

class WorkerServer {
public:
    /// `loop` and `fleet` must outlive the server; the fleet must contain the worker.
    WorkerServer(EventLoop& loop, FakeFleet& fleet, WorkerId worker);

    uint16_t listen(Address const& address) { return this->server.listen(address); }

    /// Builds the heartbeat request for the report; `address` ("IP:PORT") is where the worker takes orders.
    static HttpRequest makeHeartbeat(WorkerReport const& report, std::string const& address);
    /// The same with one field that makes it invalid.
    static HttpRequest makeOddHeartbeat(WorkerReport const& report, std::string const& address, Random& random);

    /// `observer` is called with a line of text for each order that arrives, whether it is carried out or not.
    void setOrderObserver(std::function<void(std::string const&)> observer) { this->onOrder = std::move(observer); }
    /// `observer` is called for each start order that arrives, before the worker carries it out.
    void setStartOrderObserver(std::function<void(TaskRef const&)> observer) { this->onStartOrder = std::move(observer); }
    /// While `random` is set, a share of the listings contains odd rows and fields drawn from it.
    void setOddListings(Random* random) { this->oddListings = random; }

private:
    void handle(HttpRequest const& request, HttpResponder const& responder);
    void handleOrder(std::string const& path, nlohmann::json const& body, HttpResponder const& responder);
    void renew(nlohmann::json const& body, HttpResponder const& responder);

    FakeFleet& fleet;
    WorkerTarget target;
    std::function<void(std::string const&)> onOrder;
    std::function<void(TaskRef const&)> onStartOrder;
    Random* oddListings = nullptr;
    HttpServer server;
};

} // namespace cornelpond
