#include "cornelpond/adapters/runtime/EventLoop.h"

#include <event2/event.h>

#include <chrono>
#include <stdexcept>

namespace cornelpond {

namespace {

    timeval toTimeval(Duration span)
    {
        int64_t const microseconds = std::max<int64_t>(span.toMicroseconds(), 0);
        timeval result {};
        result.tv_sec = microseconds / 1000000;
        result.tv_usec = microseconds % 1000000;
        return result;
    }

} // namespace

struct EventLoop::Timer {
    EventLoop* loop = nullptr;
    uint64_t id = 0;
    event* handle = nullptr;
    std::function<void()> callback;

    ~Timer()
    {
        if (this->handle)
            event_free(this->handle);
    }
};

struct EventLoop::Signal {
    EventLoop* loop = nullptr;
    event* handle = nullptr;
    std::function<void()> callback;

    ~Signal()
    {
        if (this->handle)
            event_free(this->handle);
    }
};

EventLoop::EventLoop()
    : eventBase(event_base_new())
{
    if (!this->eventBase)
        throw std::runtime_error("cannot create the event loop");
}

EventLoop::~EventLoop()
{
    this->timers.clear();
    this->signals.clear();
    event_base_free(this->eventBase);
}

TimePoint EventLoop::now() const
{
    // Not CLOCK_MONOTONIC: it stops while this machine is suspended, but leases that involve other hosts keep running.
    timespec sinceBoot {};
    clock_gettime(CLOCK_BOOTTIME, &sinceBoot);
    constexpr int64_t nanosecondsPerMicrosecond = 1000;
    constexpr int64_t microsecondsPerSecond = 1000 * 1000;
    return TimePoint::fromMicroseconds(static_cast<int64_t>(sinceBoot.tv_sec) * microsecondsPerSecond + sinceBoot.tv_nsec / nanosecondsPerMicrosecond);
}

int64_t EventLoop::wallMilliseconds() const
{
    auto const sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

TimerId EventLoop::after(Duration delay, std::function<void()> callback)
{
    auto timer = std::make_unique<Timer>();
    timer->loop = this;
    timer->id = this->nextTimerId++;
    timer->callback = std::move(callback);
    timer->handle = evtimer_new(this->eventBase, onTimerFired, timer.get());
    timeval const delayValue = toTimeval(delay);
    evtimer_add(timer->handle, &delayValue);
    TimerId const id(timer->id);
    this->timers.emplace(id.value(), std::move(timer));
    return id;
}

void EventLoop::cancel(TimerId timer)
{
    this->timers.erase(timer.value());
}

void EventLoop::onTimerFired(int, short, void* argument)
{
    auto* timer = static_cast<Timer*>(argument);
    EventLoop* loop = timer->loop;
    auto const callback = std::move(timer->callback);
    loop->timers.erase(timer->id);
    loop->runGuarded(callback);
}

void EventLoop::onSignal(int number, std::function<void()> callback)
{
    auto entry = std::make_unique<Signal>();
    entry->loop = this;
    entry->callback = std::move(callback);
    entry->handle = evsignal_new(this->eventBase, number, onSignalFired, entry.get());
    evsignal_add(entry->handle, nullptr);
    this->signals.push_back(std::move(entry));
}

void EventLoop::onSignalFired(int, short, void* argument)
{
    auto* entry = static_cast<Signal*>(argument);
    entry->loop->runGuarded(entry->callback);
}

void EventLoop::run()
{
    do {
        event_base_loop(this->eventBase, EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
        this->turnCount++;
    } while (!event_base_got_break(this->eventBase));
}

void EventLoop::runOnce()
{
    event_base_loop(this->eventBase, EVLOOP_NONBLOCK);
}

void EventLoop::stop()
{
    event_base_loopbreak(this->eventBase);
}

void EventLoop::runGuarded(std::function<void()> const& callback)
{
    if (!this->exceptionHandler) {
        callback();
        return;
    }
    try {
        callback();
    } catch (std::exception const& error) {
        this->exceptionHandler(error);
    }
}

} // namespace cornelpond
