// A fault-injecting TCP proxy for any number of links, controlled by commands on standard input. A test tool, not
// shipped.
//
//   faultproxy --link 'h1>h2=127.0.0.1:0=127.0.0.1:7001' --seed 7
//
// Prints "link NAME port N" for each link. A command is "NAME VERB …" (NAME "*" means all links) with one of the
// verbs "delay MS", "jitter MS", "stall PROBABILITY MS", "cut server|client|both", "heal" (removes all faults and
// closes open connections), "refuse" (new connections), "silence" (open connections, for good), "close" (open
// connections).

#include "testing/faultproxy/Console.h"
#include "testing/faultproxy/FaultProxy.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <map>
#include <memory>
#include <sstream>

namespace {

using namespace cornelpond;

using Proxies = std::map<std::string, std::unique_ptr<FaultProxy>>;

void executeOn(std::istringstream words, std::string const& line, FaultProxy& proxy)
{
    std::string verb;
    words >> verb;
    LinkFaults faults = proxy.currentFaults();
    int64_t milliseconds = 0;
    if (verb == "delay" && words >> milliseconds) {
        faults.delay = Duration::milliseconds(milliseconds);
    } else if (verb == "jitter" && words >> milliseconds) {
        faults.jitter = Duration::milliseconds(milliseconds);
    } else if (verb == "stall" && words >> faults.stallProbability >> milliseconds) {
        faults.stall = Duration::milliseconds(milliseconds);
    } else if (verb == "cut") {
        std::string side;
        words >> side;
        faults.isCutToServer = faults.isCutToServer || side == "server" || side == "both";
        faults.isCutToClient = faults.isCutToClient || side == "client" || side == "both";
    } else if (verb == "heal") {
        faults = LinkFaults();
        proxy.closeOpenConnections();
    } else if (verb == "refuse") {
        faults.refusesNewConnections = true;
    } else if (verb == "silence") {
        proxy.silenceOpenConnections();
    } else if (verb == "close") {
        proxy.closeOpenConnections();
    } else {
        fmt::print(stderr, "faultproxy: unknown command '{}'\n", line);
    }
    proxy.setFaults(faults);
}

void executeLine(std::string const& line, Proxies& proxies)
{
    std::istringstream words(line);
    std::string name;
    words >> name;
    std::string rest;
    std::getline(words, rest);
    for (auto& [link, proxy] : proxies) {
        if (name == "*" || name == link)
            executeOn(std::istringstream(rest), line, *proxy);
    }
}

} // namespace

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("faultproxy", "injects faults into TCP links");
        options.add_options()("link", "NAME=IP:PORT=IP:PORT: name, address to listen on, target", cxxopts::value<std::vector<std::string>>());
        options.add_options()("seed", "seed of jitter and stalls", cxxopts::value<uint64_t>()->default_value("1"));
        cxxopts::ParseResult const arguments = options.parse(argc, argv);
        EventLoop loop;
        SeededRandom random(arguments["seed"].as<uint64_t>());
        Proxies proxies;
        for (auto const& text : arguments["link"].as<std::vector<std::string>>()) {
            size_t const first = text.find('=');
            size_t const second = text.find('=', first + 1);
            if (second == std::string::npos)
                throw std::runtime_error("expected NAME=LISTEN=TARGET, got " + text);
            auto proxy = std::make_unique<FaultProxy>(loop, random, parseAddress(text.substr(first + 1, second - first - 1)), parseAddress(text.substr(second + 1)));
            fmt::print("link {} port {}\n", text.substr(0, first), proxy->port());
            proxies.emplace(text.substr(0, first), std::move(proxy));
        }
        std::fflush(stdout);
        Console const console(
            loop, [&](std::string const& line) { executeLine(line, proxies); }, [&] { loop.stop(); });
        loop.run();
        return 0;
    } catch (std::exception const& error) {
        fmt::print(stderr, "faultproxy: {}\n", error.what());
        return 2;
    }
}
