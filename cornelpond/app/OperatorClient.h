#pragma once

// A blocking client of the operators' API, for the command line.
//
// Example:
//   OperatorClient client({ "127.0.0.1", 7002 }, token, Duration::seconds(10));
//   nlohmann::json const status = client.call("GET", "/v1/status", std::string());

#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/core/base/ResultCode.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace cornelpond {

class OperatorClient {
public:
    OperatorClient(Address server, std::string token, Duration timeout);

    /// `target` is a path with an optional query. Throws Error with the server's code, or Unreachable.
    nlohmann::json call(std::string const& method, std::string const& target, std::string const& body);

    /// Lets time pass between two polls.
    void sleep(Duration span);

private:
    EventLoop loop;
    HttpClient client;
    Address server;
    std::string token;
    Duration timeout;
};

} // namespace cornelpond
