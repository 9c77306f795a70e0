#pragma once

// Calls the control API of a JobBench's leader as a client, a worker or the operator does, and waits for the answer.
//
// Example:
//   ApiCaller caller(bench);
//   CHECK(caller.client("DELETE", "/urgent/5c0e7a21d94b36f8").status == 200);

#include "platform/ControlApi.h"
#include "testing/fakes/JobBench.h"

#include <functional>
#include <memory>
#include <string>

namespace cornelpond {

class ApiCaller {
public:
    /// Calls the host that leads now.
    explicit ApiCaller(JobBench& bench)
        : bench(bench)
        , api(bench.leader(), [](WorkerProfile const&) { return std::string("10.0.0.1:80"); })
    {
    }

    /// Status 0: no answer came within 50 ms.
    HttpResponse client(std::string const& method, std::string const& path, std::string const& body = "", std::string const& host = "Jobs.Example:80")
    {
        HttpRequest request { method, path, "", {}, body };
        request.headers.add("Host", host);
        return this->call([&](ApiAnswerCallback const& answer) { this->api.handleClient(platform::packClientCall(request), answer); });
    }

    HttpResponse control(std::string const& method, std::string const& path, std::string const& body = "")
    {
        return this->call([&](ApiAnswerCallback const& answer) { this->api.handle({ method, path, "", {}, body }, answer); });
    }

private:
    HttpResponse call(std::function<void(ApiAnswerCallback const&)> const& action)
    {
        auto const received = std::make_shared<HttpResponse>(); // The answer may come after this function has returned.
        received->status = 0;
        action([received](HttpResponse const& response) { *received = response; });
        this->bench.run(Duration::milliseconds(50));
        return *received;
    }

    JobBench& bench;
    platform::ControlApi api;
};

} // namespace cornelpond
