#pragma once

// A clock that stands still until the test advances it, and timers that run on it.
//
// Example:
//   FakeClock clock;
//   clock.after(Duration::seconds(1), [&] { fired = true; });
//   clock.advance(Duration::seconds(1));

#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/Timers.h"

#include <map>
#include <utility>

namespace cornelpond {

class FakeClock final : public Clock, public Timers {
public:
    TimePoint now() const override { return this->current; }
    int64_t wallMilliseconds() const override { return this->current.toMicroseconds() / 1000; }

    TimerId after(Duration delay, std::function<void()> callback) override
    {
        TimerId const id(this->nextTimer++);
        this->timers.emplace(Key { this->current + delay, id.value() }, std::move(callback));
        return id;
    }

    void cancel(TimerId timer) override
    {
        for (auto entry = this->timers.begin(); entry != this->timers.end(); ++entry) {
            if (entry->first.second == timer.value()) {
                this->timers.erase(entry);
                return;
            }
        }
    }

    /// Advances the time and fires the timers that become due, in order of their time.
    void advance(Duration span)
    {
        TimePoint const end = this->current + span;
        while (!this->timers.empty() && this->timers.begin()->first.first <= end) {
            auto entry = this->timers.extract(this->timers.begin());
            this->current = std::max(this->current, entry.key().first);
            entry.mapped()();
        }
        this->current = end;
    }

private:
    using Key = std::pair<TimePoint, uint64_t>;

    TimePoint current = TimePoint::fromMicroseconds(1000000);
    std::map<Key, std::function<void()>> timers;
    uint64_t nextTimer = 1;
};

} // namespace cornelpond
