// An entry host is cut off for a moment while a configuration removes a route. Submissions that it had passed on before are
// accepted and run; when the cut is over it asks again, and answers its requesters with 404: no such queue.

#include "review/standin/Case.h"
#include "review/standin/Proxy.h"

#include <atomic>
#include <map>
#include <random>
#include <thread>

using namespace review;

namespace {

constexpr int firstEntry = 11;
constexpr int entryCount = 6; // One of six is cut off.
constexpr int cutEntry = firstEntry;
constexpr int proxyHost = 100;
constexpr size_t executorCount = 8;
constexpr uint64_t requesterCount = 20;
constexpr int minGapMs = 10; // Between two submissions of one requester.
constexpr int maxGapMs = 50;
constexpr uint64_t routeCount = 6;
constexpr Milliseconds betweenCuts = Milliseconds(5000);
constexpr Milliseconds cutTime = Milliseconds(1200);
constexpr Milliseconds changeAfterCut = Milliseconds(300);

std::string prefixOf(uint64_t route)
{
    return "/plans" + std::to_string(route) + "/";
}

std::string configurationWith(uint64_t route)
{
    return configuration(route, { { "r-" + std::to_string(route), prefixOf(route) } });
}

/// Submits once under each id to the present route, and goes on to the next one when it is gone. Returns the status of the
/// answer to each id; 0 stands for no answer.
std::map<std::string, int> submitAll(Fleet const& fleet, uint64_t requester, std::atomic<bool> const& isOver)
{
    constexpr uint64_t idsPerRequester = 100000;
    std::mt19937 random(static_cast<unsigned>(requester));
    std::uniform_int_distribution<int> gap(minGapMs, maxGapMs);
    std::map<std::string, int> answers;
    uint64_t route = 1;
    for (uint64_t i = 0; !isOver; i++) {
        std::string const id = jobId(requester * idsPerRequester + i);
        int const status = fleet.client(cutEntry, "POST", prefixOf(route) + id, jobBody(1, 100, 200)).status;
        answers[id] = status;
        if (status == 404 && route < routeCount)
            route++;
        std::this_thread::sleep_for(Milliseconds(gap(random)));
    }
    return answers;
}

bool body(Fleet& fleet, Record& record, bool isDisrupted)
{
    fleet.startControls();
    std::vector<std::unique_ptr<Proxy>> links;
    std::map<std::string, std::string> routes;
    for (int host = 1; host <= Fleet::controlCount; host++) {
        links.push_back(std::make_unique<Proxy>(fleet.ip(proxyHost + host), Fleet::peerPort, fleet.peer(host)));
        routes[fleet.peer(host).text()] = Endpoint { fleet.ip(proxyHost + host), Fleet::peerPort }.text();
    }
    fleet.startEntry(cutEntry, routes);
    for (int entry = firstEntry + 1; entry < firstEntry + entryCount; entry++)
        fleet.startEntry(entry);
    auto executors = makeExecutors(fleet, record, executorCount);
    fleet.waitUntilServing();
    fleet.configure(configurationWith(1));
    for (auto& executor : executors)
        executor->boot();
    std::this_thread::sleep_for(Milliseconds(2000));

    std::atomic<bool> isOver { false };
    std::vector<std::map<std::string, int>> answers(requesterCount);
    std::vector<std::thread> requesters;
    for (uint64_t requester = 1; requester <= requesterCount; requester++)
        requesters.emplace_back([&, requester] { answers[requester - 1] = submitAll(fleet, requester, isOver); });
    auto const setCut = [&](bool isCut) {
        record.line(std::string("entry host ") + std::to_string(cutEntry) + (isCut ? " is cut off from the control hosts" : " is connected again"));
        for (auto& link : links)
            link->setCut(isCut);
    };
    for (uint64_t route = 2; route <= routeCount; route++) {
        std::this_thread::sleep_for(betweenCuts - cutTime);
        if (isDisrupted)
            setCut(true);
        std::this_thread::sleep_for(changeAfterCut);
        fleet.configure(configurationWith(route));
        std::this_thread::sleep_for(cutTime - changeAfterCut);
        if (isDisrupted)
            setCut(false);
    }
    std::this_thread::sleep_for(Milliseconds(4000));
    isOver = true;
    for (auto& requester : requesters)
        requester.join();

    size_t sent = 0;
    size_t broken = 0;
    for (auto const& ofRequester : answers) {
        for (auto const& [id, status] : ofRequester) {
            sent++;
            if (status / 100 != 4 && status != 503)
                continue;
            for (auto const& run : record.runsOf(id)) {
                broken++;
                record.line("rejected with " + std::to_string(status) + ", but run: " + run.task + " run " + std::to_string(run.number) + " on " + run.executor + ", from " + std::to_string(run.startedMs) + " ms on");
            }
        }
    }
    record.line(std::to_string(sent) + " submissions sent, " + std::to_string(broken) + " runs of rejected ones");
    return broken > 0;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, body);
}
