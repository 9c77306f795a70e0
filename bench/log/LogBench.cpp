// Processor time and bytes of the log at a given rate of starts: each is placed, executed by a relay and ended, in bursts of
// 100 ms. Prints a line for each size of stages:
//   log_bench STARTS-PER-SECOND

#include "cornelpond/adapters/log/JsonEventSink.h"

#include <fmt/format.h>

#include <cstdlib>
#include <ctime>

using namespace cornelpond;

namespace {

constexpr int seconds = 20;
constexpr int flushesPerSecond = 20;
constexpr int flushesPerBurst = 2;
constexpr int defaultStartsPerSecond = 1500;

class ManualClock final : public Clock {
public:
    TimePoint now() const override { return TimePoint() + this->passed; }
    int64_t wallMilliseconds() const override { return this->passed.toMilliseconds(); }

    Duration passed = Duration::seconds(1);
};

Event placed(std::string const& task, int number)
{
    return Event(EventId::TaskPlaced)
        .with("task", task)
        .with("attempt", 1)
        .with("worker", WorkerId("i-0" + std::to_string(1000000 + number % 1100)))
        .with("listedMs", number % 700)
        .with("freeMilliCores", 1000 * (number % 16))
        .with("tailPercent", 0)
        .with("speedPercent", 100)
        .with("sinceAcceptedMs", number % 9000)
        .with("objectiveMs", 802)
        .with("lateness", 1);
}

Event started(std::string const& task, int number)
{
    return Event(EventId::RelayedStartExecuted)
        .with("leader", HostId("10.3.0.233"))
        .with("task", task)
        .with("attempt", 1)
        .with("worker", WorkerId("i-0" + std::to_string(1000000 + number % 1100)))
        .with("epoch", 4194304 + number)
        .with("processBornMs", int64_t(1796602000000) + number)
        .with("leaseUntilMs", 500000 + number)
        .with("expired", 0)
        .with("result", "accepted")
        .with("lastedMs", number % 20)
        .with("clockMs", 496500 + number);
}

Event ended(std::string const& task, int number)
{
    return Event(EventId::AttemptEnded)
        .with("task", task)
        .with("attempt", 1)
        .with("worker", WorkerId("i-0" + std::to_string(1000000 + number % 1100)))
        .with("outcome", "done")
        .with("effect", "stageDone")
        .with("checkpoint", std::string());
}

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Processor time of making and emitting all events; without a sink, of making them.
double emitAll(int startsPerSecond, int stageSize, EventSink* sink, std::function<void()> const& flush)
{
    double const begin = processorSeconds();
    int task = 0;
    for (int turn = 0; turn < seconds * flushesPerSecond; turn++) {
        int const due = turn % flushesPerBurst ? 0 : startsPerSecond * flushesPerBurst / flushesPerSecond;
        for (int i = 0; i < due; i++, task++) {
            std::string const name = "fafab434d0" + std::to_string(100000 + task / stageSize) + ".0.0." + std::to_string(task % stageSize);
            for (Event const& event : { placed(name, task), started(name, task), ended(name, task) }) {
                if (sink)
                    sink->emit(event);
            }
        }
        flush();
    }
    return processorSeconds() - begin;
}

} // namespace

int main(int argc, char** argv)
{
    int const startsPerSecond = argc > 1 ? std::atoi(argv[1]) : defaultStartsPerSecond;
    for (int const stageSize : { 1, 4, 20, 100 }) {
        ManualClock clock;
        size_t bytes = 0;
        std::string last;
        uint64_t suppressed = 0;
        JsonEventSink sink(clock, HostId("core-1"), JsonLogLimits(), [&](std::string_view text) {
            bytes += text.size();
            for (size_t at = text.find("\"lines\":"); at != std::string_view::npos; at = text.find("\"lines\":", at + 1))
                suppressed += std::strtoull(text.data() + at + sizeof("\"lines\":") - 1, nullptr, 10);
            return text.size();
        });
        double const without = emitAll(startsPerSecond, stageSize, nullptr, [] {});
        double const with = emitAll(startsPerSecond, stageSize, &sink, [&] {
            clock.passed = clock.passed + Duration::milliseconds(1000 / flushesPerSecond);
            sink.flush();
        });
        uint64_t const events = uint64_t(3) * static_cast<uint64_t>(startsPerSecond) * seconds;
        fmt::print("{} starts a second, {} tasks a stage: {} of {} events suppressed, {:.0f} kB a second, {:.2f} % of a core\n", startsPerSecond, stageSize, suppressed, events, static_cast<double>(bytes) / 1000 / seconds, 100 * (with - without) / seconds);
    }
    return 0;
}
