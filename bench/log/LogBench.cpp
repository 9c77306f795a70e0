// Processor time and bytes of the log at a given rate of starts: each is placed, executed by a relay and ended, in bursts of
// 100 ms. Prints a line for each size of stages:
//   log_bench STARTS-PER-SECOND

#include "cornelpond/adapters/log/JsonEventSink.h"
#include "testing/fakes/FakeClock.h"
#include "testing/fakes/TaskEvents.h"

#include <fmt/format.h>

#include <cstdlib>
#include <ctime>

using namespace cornelpond;

namespace {

constexpr int seconds = 20;
constexpr int flushesPerSecond = 20;
constexpr int flushesPerBurst = 2;
constexpr int defaultStartsPerSecond = 1500;

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
            for (Event const& event : { placedEvent(name, task), startedEvent(name, task), endedEvent(name, task) }) {
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
        FakeClock clock;
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
            clock.advance(Duration::milliseconds(1000 / flushesPerSecond));
            sink.flush();
        });
        uint64_t const events = uint64_t(3) * static_cast<uint64_t>(startsPerSecond) * seconds;
        fmt::print("{} starts a second, {} tasks a stage: {} of {} events suppressed, {:.0f} kB a second, {:.2f} % of a core\n", startsPerSecond, stageSize, suppressed, events, static_cast<double>(bytes) / 1000 / seconds, 100 * (with - without) / seconds);
    }
    return 0;
}
