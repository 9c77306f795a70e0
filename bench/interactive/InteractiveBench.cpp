// Simulates the admission and routing of interactive requests on a paused clock: the goodput of each class while
// another class overloads the service, and the effect of a slow or failing server. Ten seeds; prints median and range
// of each figure.
//
//   interactive_bench
//
// Model: 10 backend servers of 8 slots, service times exponential with a mean of 50 ms (capacity 1600
// requests/s), Poisson arrivals, deadline 1 s; 10 s are measured after a warm-up of 2 s. Callers do not
// retry refused or late requests. Time advances in steps of 1 ms.

#include "cornelpond/core/routing/RequestRouter.h"
#include "testing/fakes/FakeClock.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <vector>

namespace {

using namespace cornelpond;

constexpr size_t serverCount = 10;
constexpr uint32_t slotsPerServer = 8;
constexpr double meanServiceMs = 50;
constexpr double capacity = serverCount * slotsPerServer * 1000 / meanServiceMs;
constexpr Duration deadline = Duration::seconds(1);
constexpr Duration warmUp = Duration::seconds(2);
constexpr Duration measuredTime = Duration::seconds(10);
constexpr Duration step = Duration::milliseconds(1);
constexpr uint64_t stepsPerTick = 10;
constexpr int seedCount = 10;

enum class Variant {
    Whole,
    NoAdmission, ///< First-in first-out queue without an effective bound, nothing refused early.
    PlainFifo, ///< Bounded first-in first-out queue.
    RandomChoice,
    NoBudget,
    NoEarlyRefusal,
    OldestFirst,
    NoEjection,
};

enum class Fault {
    None,
    SlowServer, ///< The first server takes 10 times as long.
    FailingServer, ///< The first server answers every request with a failure after 1 ms.
};

struct Load {
    std::array<double, requestClassCount> perSecond {};
    Fault fault = Fault::None;
    double brokenAttemptShare = 0; ///< Share of attempts whose connection breaks.
};

struct ClassFigures {
    size_t offered = 0;
    std::vector<double> latenciesMs; ///< Of answers before the deadline.
    std::vector<double> refusalsMs; ///< How long callers waited for a refusal.
};

struct Figures {
    std::array<ClassFigures, requestClassCount> classes;
    size_t sends = 0;
    size_t requests = 0;
};

class NullEventSink final : public EventSink {
public:
    void emit(Event const&) override { }
};

class Simulation {
public:
    Simulation(Variant variant, Load const& load, uint64_t seed)
        : load(load)
        , random(seed)
        , routerRandom(seed + 1000)
        , servers(Duration::seconds(1000))
        , router(options(variant), this->hooks(), this->events, this->clock, this->routerRandom, this->servers)
    {
        for (size_t i = 0; i < serverCount; i++) {
            BackendServerAnnouncement announcement;
            announcement.server = BackendServerId("s" + std::to_string(i));
            announcement.service = ServiceId("plan");
            announcement.slots = slotsPerServer;
            this->servers.announce(announcement, this->clock.now());
        }
    }

    Figures run()
    {
        TimePoint const start = this->clock.now();
        while (this->clock.now() < start + warmUp + measuredTime) {
            this->isMeasured = this->clock.now() >= start + warmUp;
            this->clock.advance(step);
            this->arrive();
            if (++this->steps % stepsPerTick == 0)
                this->router.onTick();
        }
        return this->figures;
    }

private:
    static RouterOptions options(Variant variant)
    {
        RouterOptions options;
        options.admission.maxRequests = 2000;
        if (variant == Variant::NoAdmission || variant == Variant::PlainFifo) {
            options.admission.isFair = false;
            options.admission.refusesUnmeetable = false;
        }
        if (variant == Variant::NoAdmission)
            options.admission.maxRequests = 10000000;
        if (variant == Variant::NoEarlyRefusal)
            options.admission.refusesUnmeetable = false;
        if (variant == Variant::OldestFirst)
            options.admission.overloadAfter = Duration::infinite();
        options.balancer.hasTwoChoices = variant != Variant::RandomChoice;
        if (variant == Variant::NoBudget)
            options.retries = { 1000, 1e12 };
        if (variant == Variant::NoEjection)
            options.balancer.health.maxEjectedShare = 0;
        return options;
    }

    RouterHooks hooks()
    {
        RouterHooks hooks;
        hooks.send = [this](SendAttempt const& attempt) { this->serve(attempt); };
        hooks.cancel = [](AttemptId) {};
        hooks.refuse = [this](RequestId id, RouterRefusal const&) { this->refuse(id); };
        return hooks;
    }

    void refuse(RequestId id)
    {
        auto const found = this->requests.find(id);
        if (found == this->requests.end())
            return;
        if (found->second.isMeasured)
            this->figures.classes[found->second.requestClass].refusalsMs.push_back((this->clock.now() - found->second.received).toSeconds() * 1000);
        this->requests.erase(found);
    }

    double exponential(double mean) { return -mean * std::log(1 - this->random.nextDouble()); }

    void serve(SendAttempt const& send)
    {
        this->figures.sends += this->isMeasured ? 1 : 0;
        bool const isFirst = send.target->server == BackendServerId("s0");
        double serviceMs = this->exponential(meanServiceMs);
        AttemptResult result = AttemptResult::Answered;
        if (isFirst && this->load.fault == Fault::SlowServer)
            serviceMs *= 10;
        if (isFirst && this->load.fault == Fault::FailingServer) {
            serviceMs = 1;
            result = AttemptResult::Unavailable;
        }
        if (this->random.nextDouble() < this->load.brokenAttemptShare)
            result = AttemptResult::Broken;
        Duration responseTime = Duration::microseconds(static_cast<int64_t>(serviceMs * 1000));
        if (responseTime >= send.timeout) {
            responseTime = send.timeout;
            result = AttemptResult::Silent;
        }
        this->clock.after(responseTime, [this, attempt = send.attempt, result] { this->finish(attempt, result); });
    }

    void finish(AttemptId attempt, AttemptResult result)
    {
        AttemptDecision const decision = this->router.onAttemptEnded(attempt, { result, true });
        if (!decision.passesAnswer)
            return;
        auto const found = this->requests.find(decision.request);
        if (found == this->requests.end())
            return;
        double const latencyMs = (this->clock.now() - found->second.received).toSeconds() * 1000;
        bool const isInTime = result == AttemptResult::Answered && latencyMs <= deadline.toSeconds() * 1000;
        if (isInTime && found->second.isMeasured)
            this->figures.classes[found->second.requestClass].latenciesMs.push_back(latencyMs);
        this->requests.erase(found);
    }

    void arrive()
    {
        for (size_t index = 0; index < requestClassCount; index++) {
            this->expectedArrivals[index] += this->load.perSecond[index] * step.toSeconds();
            // Poisson arrivals: each step adds its expected number, each arrival takes an exponential gap of mean 1.
            while (this->expectedArrivals[index] > 0) {
                this->expectedArrivals[index] -= this->exponential(1);
                this->submit(index);
            }
        }
    }

    void submit(size_t index)
    {
        InteractiveRequest request;
        request.id = RequestId(this->nextRequest++);
        request.service = ServiceId("plan");
        request.association = AssociationId("a" + std::to_string(request.id.value() % 4));
        request.requestClass = static_cast<RequestClass>(index);
        request.receivedAt = this->clock.now();
        request.deadline = request.receivedAt + deadline;
        request.memoryBytes = 1000;
        if (this->isMeasured) {
            this->figures.requests++;
            this->figures.classes[index].offered++;
        }
        this->requests[request.id] = { request.receivedAt, index, this->isMeasured };
        this->router.submit(request);
    }

    struct PendingRequest {
        TimePoint received;
        size_t requestClass = 0;
        bool isMeasured = false;
    };

    Load load;
    FakeClock clock;
    NullEventSink events;
    SeededRandom random;
    SeededRandom routerRandom;
    BackendServerTable servers;
    std::unordered_map<RequestId, PendingRequest> requests;
    std::array<double, requestClassCount> expectedArrivals {};
    Figures figures;
    uint64_t nextRequest = 1;
    uint64_t steps = 0;
    bool isMeasured = false;
    RequestRouter router;
};

double quantile(std::vector<double> values, double p)
{
    if (values.empty())
        return 0;
    auto const nth = values.begin() + static_cast<std::ptrdiff_t>(p * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), nth, values.end());
    return *nth;
}

std::string medianAndRange(std::vector<double> const& values, int digits)
{
    return fmt::format("{:.{}f} ({:.{}f}-{:.{}f})", quantile(values, 0.5), digits, quantile(values, 0), digits, quantile(values, 1), digits);
}

void measure(std::string const& title, std::vector<std::pair<std::string, Variant>> const& variants, Load const& load)
{
    fmt::print("\n### {}\n\n| variant | class | offered/s | answered in time/s | p99 ms | refused after ms (median) | sends per request |\n|---|---|---|---|---|---|---|\n", title);
    for (auto const& [name, variant] : variants) {
        std::array<std::vector<double>, requestClassCount> goodput;
        std::array<std::vector<double>, requestClassCount> p99;
        std::array<std::vector<double>, requestClassCount> refused;
        std::vector<double> sends;
        for (int seed = 1; seed <= seedCount; seed++) {
            Figures const figures = Simulation(variant, load, static_cast<uint64_t>(seed)).run();
            for (size_t index = 0; index < requestClassCount; index++) {
                goodput[index].push_back(static_cast<double>(figures.classes[index].latenciesMs.size()) / measuredTime.toSeconds());
                p99[index].push_back(quantile(figures.classes[index].latenciesMs, 0.99));
            }
            for (size_t index = 0; index < requestClassCount; index++)
                refused[index].push_back(quantile(figures.classes[index].refusalsMs, 0.5));
            sends.push_back(static_cast<double>(figures.sends) / static_cast<double>(figures.requests));
        }
        for (size_t index = 0; index < requestClassCount; index++) {
            if (load.perSecond[index] > 0)
                fmt::print("| {} | {} | {:.0f} | {} | {} | {} | {} |\n", name, requestClassNames[index], load.perSecond[index], medianAndRange(goodput[index], 0), medianAndRange(p99[index], 0), medianAndRange(refused[index], 0), medianAndRange(sends, 2));
        }
    }
    std::fflush(stdout);
}

} // namespace

int main()
{
    std::vector<std::pair<std::string, Variant>> const admission = {
        { "whole", Variant::Whole },
        { "no admission", Variant::NoAdmission },
        { "plain FIFO", Variant::PlainFifo },
        { "no early refusal", Variant::NoEarlyRefusal },
        { "oldest first", Variant::OldestFirst },
    };
    std::vector<std::pair<std::string, Variant>> const routing = {
        { "whole", Variant::Whole },
        { "random choice", Variant::RandomChoice },
        { "no ejection", Variant::NoEjection },
        { "no budget", Variant::NoBudget },
    };
    double const usualRate = capacity * 0.15;
    for (double factor : { 3.0, 10.0 }) {
        measure(fmt::format("background floods with {}x capacity", factor), admission, { { usualRate, usualRate, capacity * factor }, Fault::None, 0 });
        measure(fmt::format("urgent floods with {}x capacity", factor), admission, { { capacity * factor, usualRate, usualRate }, Fault::None, 0 });
    }
    measure("one server in ten 10x slower, load 0.6", routing, { { 0, capacity * 0.6, 0 }, Fault::SlowServer, 0 });
    measure("one server in ten fails all at once, load 0.6", routing, { { 0, capacity * 0.6, 0 }, Fault::FailingServer, 0 });
    measure("30 % of attempts break off, load 0.9", routing, { { 0, capacity * 0.9, 0 }, Fault::None, 0.3 });
    return 0;
}
