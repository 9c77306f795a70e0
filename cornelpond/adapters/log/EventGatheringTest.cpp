#include "cornelpond/adapters/log/EventGathering.h"
#include "cornelpond/adapters/log/JsonEventSink.h"

#include "testing/fakes/FakeClock.h"
#include "testing/fakes/TaskEvents.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace cornelpond;

namespace {

constexpr Duration flushInterval = Duration::milliseconds(50);
constexpr Duration second = Duration::seconds(1);

/// A sink whose pipe accepts as much as a pipe holds at each flush.
struct Log {
    static constexpr size_t pipeBytes = 64 * 1024;

    explicit Log(JsonLogLimits const& limits = JsonLogLimits())
        : sink(clock, HostId("core-1"), limits, [this](std::string_view bytes) {
            size_t const count = this->isRead ? std::min(pipeBytes, bytes.size()) : 0;
            this->written.append(bytes.substr(0, count));
            return count;
        })
    {
    }

    void run(Duration span)
    {
        for (Duration passed; passed < span; passed = passed + flushInterval) {
            this->clock.advance(flushInterval);
            this->sink.flush();
        }
    }

    std::vector<nlohmann::json> lines() const
    {
        std::vector<nlohmann::json> parsed;
        for (size_t from = 0; from < this->written.size();) {
            size_t const end = this->written.find('\n', from);
            parsed.push_back(nlohmann::json::parse(this->written.substr(from, end - from)));
            from = end + 1;
        }
        return parsed;
    }

    /// The tasks that lines of the event name, with their attempts.
    std::multiset<std::string> tasksOf(EventId id) const
    {
        std::multiset<std::string> tasks;
        for (auto const& line : this->lines()) {
            if (line["id"] != static_cast<int>(id))
                continue;
            if (line.contains("task"))
                tasks.insert(line["task"].get<std::string>());
            else if (line.contains("rows")) {
                for (auto const& row : line["rows"])
                    tasks.insert(line["stage"].get<std::string>() + '.' + std::to_string(row[1].get<int>()));
            }
        }
        return tasks;
    }

    size_t count(EventId id) const
    {
        size_t found = 0;
        for (auto const& line : this->lines())
            found += line["id"] == static_cast<int>(id);
        return found;
    }

    bool isRead = true;
    FakeClock clock;
    std::string written;
    JsonEventSink sink;
};

std::string taskName(int job, int index)
{
    std::string const number = std::to_string(100000 + job);
    return "fafab434d0" + number + ".0.0." + std::to_string(index);
}

/// Bursts of 500 starts and as many ends in 100 ms, three a second, of stages of `stageSize` tasks. Returns the number of tasks.
int emitBursts(Log& log, int seconds, int stageSize)
{
    constexpr int burstSize = 500;
    constexpr int burstsPerSecond = 3;
    int task = 0;
    for (int burst = 0; burst < seconds * burstsPerSecond; burst++) {
        for (int i = 0; i < burstSize; i++, task++) {
            std::string const name = taskName(task / stageSize, task % stageSize);
            log.sink.emit(placedEvent(name, task));
            log.sink.emit(startedEvent(name, task));
            log.sink.emit(endedEvent(name, task));
            if (i == burstSize / 2)
                log.run(flushInterval);
        }
        log.run(Duration::milliseconds(250));
    }
    log.run(second);
    return task;
}

} // namespace

TEST_CASE("events about tasks of one stage share a line with what they have in common, and rows with the rest")
{
    Log log;
    log.sink.emit(endedEvent("7.0.1.3", 1));
    log.clock.advance(Duration::milliseconds(20));
    log.sink.emit(endedEvent("7.0.1.12", 2));
    log.sink.flush();
    CHECK(log.written.empty());
    log.run(Duration::milliseconds(100));
    CHECK(log.written
        == R"({"time":"1970-01-01T00:00:01.000Z","id":304,"event":"AttemptEnded","host":"core-1","stage":"7.0.1","attempt":1,"outcome":"done","effect":"stageDone","checkpoint":"","columns":["atMs","index","worker"],"rows":[[0,3,"i-01000001"],[20,12,"i-01000002"]]})"
           "\n");
}

TEST_CASE("a single event about a task is written as it is, with the time of the event")
{
    Log log;
    int64_t const startMs = log.clock.wallMilliseconds();
    Event const event = placedEvent("7.0.1.3", 1);
    log.sink.emit(event);
    log.run(second);
    CHECK(log.written == formatJsonEvent(event, HostId("core-1"), startMs) + "\n");
}

TEST_CASE("events of other stages, with other keys or other ids are not mixed")
{
    Log log;
    log.sink.emit(endedEvent("7.0.1.3", 1));
    log.sink.emit(endedEvent("7.0.2.3", 1));
    log.sink.emit(placedEvent("7.0.1.3", 1));
    log.sink.emit(Event(EventId::AttemptEnded).with("task", std::string("7.0.1.4")).with("outcome", "lost"));
    log.sink.emit(Event(EventId::AttemptEnded).with("task", std::string("7.0.1.5")).with("outcome", 3));
    log.run(second);
    std::vector<nlohmann::json> const lines = log.lines();
    REQUIRE(lines.size() == 5);
    CHECK(lines[0]["task"] == "7.0.1.3");
    for (auto const& line : lines)
        CHECK(line.contains("task"));
}

TEST_CASE("events that name no task of a stage are written at once")
{
    Log log;
    log.sink.emit(Event(EventId::JobCancelled).with("job", "7"));
    log.sink.emit(Event(EventId::TaskPlaced).with("task", 7));
    log.sink.emit(Event(EventId::TaskPlaced).with("task", std::string("plan-7")));
    log.sink.emit(Event(EventId::TaskPlaced).with("task", std::string("plan.")));
    log.sink.flush();
    CHECK(log.lines().size() == 4);
}

TEST_CASE("kept events are written when the process ends")
{
    std::string written;
    {
        FakeClock clock;
        JsonEventSink sink(clock, HostId("core-1"), JsonLogLimits(), [&](std::string_view bytes) {
            written += bytes;
            return bytes.size();
        });
        sink.emit(endedEvent("7.0.1.3", 1));
    }
    CHECK(written.find("7.0.1.3") != std::string::npos);
}

TEST_CASE("a line holds a bounded number of rows, and the sink a bounded number of events")
{
    Log log;
    GatheringLimits const limits;
    for (size_t i = 0; i < 2 * limits.maxRowsPerLine + 1; i++)
        log.sink.emit(endedEvent("7.0.1." + std::to_string(i), 1));
    log.sink.flush();
    CHECK(log.lines().size() == 2);
    for (auto const& line : log.lines())
        CHECK(line["rows"].size() == limits.maxRowsPerLine);
    Log full;
    for (size_t i = 0; i <= limits.maxKeptEvents; i++)
        full.sink.emit(endedEvent(taskName(static_cast<int>(i), 0), 1));
    CHECK(full.sink.bufferedBytes() > 0);
}

TEST_CASE("bursts of starts and ends lose no line that names a task")
{
    for (int const stageSize : { 1, 20, 200 }) {
        Log log;
        int const tasks = emitBursts(log, 5, stageSize);
        std::multiset<std::string> expected;
        for (int task = 0; task < tasks; task++)
            expected.insert(taskName(task / stageSize, task % stageSize));
        CAPTURE(stageSize);
        CHECK(log.tasksOf(EventId::TaskPlaced) == expected);
        CHECK(log.tasksOf(EventId::RelayedStartExecuted) == expected);
        CHECK(log.tasksOf(EventId::AttemptEnded) == expected);
        CHECK(log.count(EventId::EventsSuppressed) == 0);
        CHECK(log.sink.suppressedEvents().empty());
    }
}

TEST_CASE("a flood of frequent events while nobody reads the log leaves room for cancels, stops, strays and conclusions")
{
    std::vector<EventId> const rareEvents { EventId::JobCancelled, EventId::CancelAnswered, EventId::JobStopsBegun, EventId::JobStopsDone, EventId::AttemptOutlivesJob, EventId::StopRepeated, EventId::RelayedStopExecuted, EventId::StrayAttempt, EventId::AttemptConcluded, EventId::AttemptRefused, EventId::JobRefused };
    Log log;
    log.isRead = false;
    int rare = 0;
    for (int task = 0; task < 100000; task++) {
        std::string const name = taskName(task, 0);
        log.sink.emit(placedEvent(name, task));
        log.sink.emit(endedEvent(name, task));
        if (task % 1000 == 0) {
            for (EventId const id : rareEvents)
                log.sink.emit(Event(id).with("task", name).with("worker", "i-0"));
            rare++;
            log.run(flushInterval);
        }
    }
    log.isRead = true;
    log.run(second * 5);
    for (EventId const id : rareEvents) {
        CAPTURE(eventInfo(id).name);
        CHECK(log.tasksOf(id).size() == static_cast<size_t>(rare));
    }
    CHECK(log.sink.suppressedEvents().count(EventId::TaskPlaced) == 1);
    CHECK(log.sink.suppressedEvents().size() == 2);
}

TEST_CASE("the bytes of one event are bounded in each second, and the events beyond are counted")
{
    JsonLogLimits limits;
    limits.maxBytesPerEventPerSecond = 10000;
    Log log(limits);
    constexpr size_t events = 1000;
    for (size_t i = 0; i < events; i++)
        log.sink.emit(endedEvent(taskName(static_cast<int>(i), 0), 1));
    log.run(second / 2);
    size_t const written = log.tasksOf(EventId::AttemptEnded).size();
    CHECK(log.written.size() <= limits.maxBytesPerEventPerSecond + 500);
    CHECK(written > 0);
    CHECK(log.sink.suppressedEvents().at(EventId::AttemptEnded) == events - written);
    log.run(second);
    log.sink.emit(endedEvent(taskName(0, 1), 1));
    log.run(second);
    CHECK(log.tasksOf(EventId::AttemptEnded).size() == written + 1);
}

TEST_CASE("a sink that nobody reads holds a bounded number of bytes")
{
    JsonLogLimits limits;
    limits.maxBufferedBytes = 20000;
    limits.maxBytesPerEventPerSecond = SIZE_MAX;
    limits.maxLinesPerEventPerSecond = UINT32_MAX;
    Log log(limits);
    log.isRead = false;
    for (int i = 0; i < 10000; i++) {
        log.sink.emit(placedEvent(taskName(i, 0), i));
        log.sink.emit(Event(EventId::CallRefused).with("path", "/coli58/"));
        log.sink.flush();
    }
    CHECK(log.sink.bufferedBytes() <= limits.maxBufferedBytes + 1000);
}

TEST_CASE("calls that cancel are logged beside a flood of other calls, also while nobody reads the log")
{
    Log log;
    log.isRead = false;
    size_t cancels = 0;
    for (int call = 0; call < 100000; call++) {
        for (EventId const id : { EventId::CallForwarded, EventId::CallRefused }) {
            log.sink.emit(Event(id).with("method", "POST").with("path", "/koli954/" + taskName(call, 0)));
            if (call % 1000 == 0) {
                log.sink.emit(Event(id).with("method", "DELETE").with("path", "/koli954/" + taskName(call, 0)));
                cancels++;
            }
        }
        if (call % 1000 == 0)
            log.run(flushInterval);
    }
    log.isRead = true;
    log.run(second * 5);
    std::vector<nlohmann::json> const lines = log.lines();
    CHECK(static_cast<size_t>(std::count_if(lines.begin(), lines.end(), [](auto const& line) { return line.value("method", "") == "DELETE"; })) == cancels);
    CHECK(log.sink.suppressedEvents().at(EventId::CallRefused) > 0);
}

TEST_CASE("stages whose events have all been written are forgotten, also when each filled its line")
{
    FakeClock clock;
    GatheringLimits limits;
    EventGathering gathering(limits, [](GatheredEvents const&) {});
    for (int stage = 0; stage < 100; stage++) {
        for (size_t row = 0; row < limits.maxRowsPerLine; row++)
            gathering.add(Event(EventId::TaskPlaced).with("task", "7.0." + std::to_string(stage) + "." + std::to_string(row)), clock.now(), 0);
    }
    REQUIRE(gathering.knownStages() == 100);
    clock.advance(limits.window);
    gathering.release(clock.now());
    CHECK(gathering.knownStages() == 0);
}
