#pragma once

// A worker of the fake fleet behind HTTP: takes the platform's orders for it and answers as the fake does.
//
// Example:
//   WorkerServer server(loop, fleet, WorkerId("w1"));
//   uint16_t const port = server.listen({ "127.0.0.1", 0 });
//
// An order that the fake leaves unanswered is never answered here either.

#include "cornelpond/adapters/http/HttpServer.h"
#include "testing/fakes/FakeFleet.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace cornelpond {

class WorkerServer {
public:
    /// References must outlive the server. The fleet has the worker.
    WorkerServer(EventLoop& loop, FakeFleet& fleet, WorkerId worker);

    uint16_t listen(Address const& address) { return this->server.listen(address); }

    /// The heartbeat that the worker would send now; `address`: where it takes orders.
    static HttpRequest makeHeartbeat(WorkerReport const& report, std::string const& address);

private:
    void handle(HttpRequest const& request, HttpResponder const& responder);
    void handleOrder(std::string const& path, nlohmann::json const& body, HttpResponder const& responder);
    void renew(nlohmann::json const& body, HttpResponder const& responder);

    FakeFleet& fleet;
    WorkerTarget target;
    HttpServer server;
};

} // namespace cornelpond
