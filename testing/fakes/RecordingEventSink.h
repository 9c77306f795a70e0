#pragma once

// An event sink that records the events for a test. An internal fault fails the test that does not expect it.

#include "cornelpond/ports/EventSink.h"

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <vector>

namespace cornelpond {

class RecordingEventSink final : public EventSink {
public:
    void emit(Event const& event) override
    {
        this->events.push_back(event);
        if (event.id() == EventId::InternalFault && !this->expectsInternalFaults)
            throw std::runtime_error("internal fault: " + event.fields().front().value);
    }

    size_t count(EventId id) const
    {
        return static_cast<size_t>(std::count_if(this->events.begin(), this->events.end(), [&](auto const& event) { return event.id() == id; }));
    }

    std::vector<Event> const& all() const { return this->events; }

    std::vector<Event> of(EventId id) const
    {
        std::vector<Event> found;
        std::copy_if(this->events.begin(), this->events.end(), std::back_inserter(found), [&](auto const& event) { return event.id() == id; });
        return found;
    }

    bool expectsInternalFaults = false;

private:
    std::vector<Event> events;
};

} // namespace cornelpond
