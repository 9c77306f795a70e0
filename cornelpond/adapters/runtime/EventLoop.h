#pragma once

// The Clock and Timers ports on a libevent loop. One per process, used from one thread.
//
// Example:
//   EventLoop loop;
//   loop.after(Duration::seconds(1), [&] { loop.stop(); });
//   loop.run();

#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/Timers.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace cornelpond {

class EventLoop final : public Clock, public Timers {
public:
    EventLoop();
    ~EventLoop() override;
    EventLoop(EventLoop const&) = delete;
    EventLoop& operator=(EventLoop const&) = delete;

    TimePoint now() const override;
    int64_t wallMilliseconds() const override;
    TimerId after(Duration delay, std::function<void()> callback) override;
    void cancel(TimerId timer) override;

    /// Calls `callback` on the loop for each delivery of the signal.
    void onSignal(int signal, std::function<void()> callback);

    /// Returns after `stop`. Exceptions from callbacks are passed to the exception handler when one is set.
    void run();

    /// Runs what is ready and returns.
    void runOnce();

    void stop();

    /// How often `run` has woken up to call what was due.
    uint64_t turns() const { return this->turnCount; }

    /// Sets what is called with an exception that leaves a callback; without it the exception ends the process.
    void setExceptionHandler(std::function<void(std::exception const&)> handler) { this->exceptionHandler = std::move(handler); }

    /// Calls `callback` and passes an exception that leaves it to the exception handler. Adapters run the
    /// callbacks of their libraries through it.
    void runGuarded(std::function<void()> const& callback);

    event_base* base() const { return this->eventBase; }

private:
    struct Timer;
    struct Signal;

    static void onTimerFired(int, short, void* argument);
    static void onSignalFired(int, short, void* argument);

    event_base* eventBase;
    std::function<void(std::exception const&)> exceptionHandler;
    std::map<uint64_t, std::unique_ptr<Timer>> timers;
    std::vector<std::unique_ptr<Signal>> signals;
    uint64_t nextTimerId = 1;
    uint64_t turnCount = 0;
};

} // namespace cornelpond
