#include "cornelpond/adapters/log/JsonEventSink.h"

#include "testing/fakes/FakeClock.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace cornelpond;

namespace {

/// A pipe that accepts at most `maxBytesPerWrite` bytes at each call.
struct Pipe {
    size_t maxBytesPerWrite = SIZE_MAX;
    std::string written;

    JsonEventSink::Write writer()
    {
        return [this](std::string_view bytes) {
            size_t const count = std::min(this->maxBytesPerWrite, bytes.size());
            this->written.append(bytes.substr(0, count));
            return count;
        };
    }
};

size_t countLines(std::string const& text)
{
    return static_cast<size_t>(std::count(text.begin(), text.end(), '\n'));
}

} // namespace

TEST_CASE("an event is one JSON object: numbers bare, texts escaped")
{
    Event const event = Event(EventId::TaskPlaced).with("task", std::string("7.0.0.1")).with("waitMs", Duration::milliseconds(12)).with("reason", "a \"b\"\n").with("key", "007").with("minus", -3);
    CHECK(formatJsonEvent(event, HostId("h1"), 1234)
        == R"({"time":"1970-01-01T00:00:01.234Z","id":301,"event":"TaskPlaced","host":"h1","task":"7.0.0.1","waitMs":12,"reason":"a \"b\"\u000a","key":"007","minus":-3})");
}

TEST_CASE("a text of digits stays a text, so that a key is always of one type")
{
    Event const event = Event(EventId::EvictionRequested).with("image", "387902").with("worker", WorkerId("17")).with("attempt", AttemptNumber(17));
    std::string const line = formatJsonEvent(event, HostId("h1"), 0);
    CHECK(line.find(R"("image":"387902","worker":"17","attempt":17})") != std::string::npos);
}

TEST_CASE("a pipe that nobody reads neither blocks nor lets the buffer grow, and dropped lines are counted")
{
    FakeClock clock;
    Pipe pipe;
    pipe.maxBytesPerWrite = 0;
    JsonLogLimits limits;
    limits.maxBufferedBytes = 1000;
    limits.maxLinesPerEventPerSecond = 100000;
    JsonEventSink sink(clock, HostId("h1"), limits, pipe.writer());
    for (int i = 0; i < 10000; i++) {
        sink.emit(Event(EventId::TaskPlaced).with("task", i));
        sink.flush();
    }
    CHECK(sink.bufferedBytes() < 2 * limits.maxBufferedBytes);
    CHECK(pipe.written.empty());
    pipe.maxBytesPerWrite = SIZE_MAX;
    sink.flush();
    clock.advance(Duration::seconds(2));
    sink.emit(Event(EventId::HostStarted));
    sink.flush();
    CHECK(pipe.written.find(R"("event":"EventsSuppressed")") != std::string::npos);
    CHECK(pipe.written.find(R"("suppressed":"TaskPlaced")") != std::string::npos);
}

TEST_CASE("a flood of one event does not suppress other events")
{
    FakeClock clock;
    Pipe pipe;
    JsonLogLimits limits;
    limits.maxLinesPerEventPerSecond = 10;
    JsonEventSink sink(clock, HostId("h1"), limits, pipe.writer());
    for (int i = 0; i < 1000; i++)
        sink.emit(Event(EventId::TaskPlaced));
    sink.emit(Event(EventId::JobEnded));
    sink.flush();
    CHECK(countLines(pipe.written) == 12);
    CHECK(pipe.written.find("\"lines\":990") != std::string::npos);
    CHECK(pipe.written.find("JobEnded") != std::string::npos);
    clock.advance(Duration::seconds(1));
    sink.emit(Event(EventId::TaskPlaced));
    sink.flush();
    CHECK(countLines(pipe.written) == 13);
}
