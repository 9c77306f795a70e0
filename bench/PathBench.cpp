// Measures running processes from outside: requests/s and latency through an entry host, and task starts/s.
//
//   path_bench requests --target 127.0.0.1:7000 --path /plan/x --connections 64 --seconds 5
//   path_bench tasks --target 127.0.0.1:7002 --count 5000
//
// Bounded in count and time; meant for loopback addresses only.

#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/core/base/Duration.h"
#include "testing/faultproxy/Console.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace {

using namespace cornelpond;

double quantileMs(std::vector<Duration>& latencies, double p)
{
    if (latencies.empty())
        return 0;
    std::sort(latencies.begin(), latencies.end());
    auto const index = static_cast<size_t>(p * static_cast<double>(latencies.size() - 1));
    return static_cast<double>(latencies[index].toMicroseconds()) / 1000;
}

int measureRequests(cxxopts::ParseResult const& arguments)
{
    EventLoop loop;
    HttpClient client(loop, HttpClientLimits());
    Address const target = parseAddress(arguments["target"].as<std::string>());
    HttpRequest request;
    request.method = "GET";
    request.path = arguments["path"].as<std::string>();
    TimePoint const start = loop.now();
    TimePoint const end = start + Duration::seconds(arguments["seconds"].as<int>());
    std::vector<Duration> latencies;
    size_t failed = 0;
    std::function<void()> const sendNext = [&] {
        TimePoint const sent = loop.now();
        client.send(target, request, HttpSendOptions(), [&, sent](HttpOutcome const& outcome) {
            if (outcome.kind == HttpOutcome::Kind::Answered && outcome.response.status == 200)
                latencies.push_back(loop.now() - sent);
            else
                failed++;
            if (loop.now() < end)
                sendNext();
            else if (client.openExchanges() == 0)
                loop.stop();
        });
    };
    for (int i = 0; i < arguments["connections"].as<int>(); i++)
        sendNext();
    loop.run();
    double const seconds = (loop.now() - start).toSeconds();
    double const rate = static_cast<double>(latencies.size()) / seconds;
    double const p50 = quantileMs(latencies, 0.5);
    fmt::print("connections {} requests/s {:.0f} p50 {:.3f} ms p99 {:.3f} ms p999 {:.3f} ms failed {}\n", arguments["connections"].as<int>(), rate, p50, quantileMs(latencies, 0.99),
        quantileMs(latencies, 0.999), failed);
    return 0;
}

/// Submits tasks and waits until all have been started, at most 2 minutes.
int measureTasks(cxxopts::ParseResult const& arguments)
{
    EventLoop loop;
    HttpClient client(loop, HttpClientLimits());
    Address const target = parseAddress(arguments["target"].as<std::string>());
    int const count = arguments["count"].as<int>();
    int submitted = 0;
    int accepted = 0;
    TimePoint const start = loop.now();
    std::function<void()> const submitNext = [&] {
        if (submitted >= count)
            return;
        nlohmann::json const task = { { "id", fmt::format("bench-{}-{}", start.toMicroseconds(), submitted++) }, { "association", "bench" }, { "resources", { { "milliCores", 10 } } }, { "command", arguments["command"].as<std::string>() } };
        HttpRequest request;
        request.method = "POST";
        request.path = "/v1/tasks";
        request.body = task.dump();
        client.send(target, request, HttpSendOptions(), [&](HttpOutcome const& outcome) {
            accepted += outcome.response.status == 200 ? 1 : 0;
            submitNext();
            if (client.openExchanges() == 0)
                loop.stop();
        });
    };
    for (int i = 0; i < arguments["connections"].as<int>(); i++)
        submitNext();
    loop.run();
    double const submitSeconds = (loop.now() - start).toSeconds();
    fmt::print("submitted {} accepted {} in {:.2f} s: {:.0f}/s\n", submitted, accepted, submitSeconds, accepted / submitSeconds);
    bool done = false;
    std::function<void()> const poll = [&] {
        HttpRequest request;
        request.method = "GET";
        request.path = "/metrics";
        client.send(target, request, HttpSendOptions(), [&](HttpOutcome const& outcome) {
            size_t const at = outcome.response.body.find("startsCommitted ");
            done = at != std::string::npos && std::stoi(outcome.response.body.substr(at + 16)) >= count;
            if (done || loop.now() - start > Duration::minutes(2))
                loop.stop();
            else
                loop.after(Duration::milliseconds(20), poll);
        });
    };
    poll();
    loop.run();
    double const seconds = (loop.now() - start).toSeconds();
    fmt::print("{} starts in {:.2f} s: {:.0f} starts/s{}\n", count, seconds, count / seconds, done ? "" : " (gave up)");
    return done ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("path_bench", "measures requests/s and task starts/s of running processes");
        options.add_options()("what", "requests or tasks", cxxopts::value<std::string>());
        options.add_options()("target", "IP:PORT", cxxopts::value<std::string>());
        options.add_options()("path", "request path", cxxopts::value<std::string>()->default_value("/plan/x"));
        options.add_options()("connections", "concurrent requests", cxxopts::value<int>()->default_value("64"));
        options.add_options()("seconds", "duration of the measurement in s", cxxopts::value<int>()->default_value("5"));
        options.add_options()("command", "command of each task, see standin", cxxopts::value<std::string>()->default_value("run 1"));
        options.add_options()("count", "number of tasks", cxxopts::value<int>()->default_value("5000"));
        options.parse_positional({ "what" });
        cxxopts::ParseResult const arguments = options.parse(argc, argv);
        return arguments["what"].as<std::string>() == "tasks" ? measureTasks(arguments) : measureRequests(arguments);
    } catch (std::exception const& error) {
        fmt::print(stderr, "path_bench: {}\n", error.what());
        return 2;
    }
}
