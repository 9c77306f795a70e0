#pragma once

// Keeps a number of connections to a server open without sending anything. Those that the server closes are opened again.
//
// Example:
//   IdleConnections connections(clock, address);
//   connections.setCount(64);
//   connections.step(); // every few milliseconds

#include "cornelpond/adapters/http/HttpTypes.h"
#include "cornelpond/ports/Clock.h"

#include <vector>

namespace cornelpond {

class IdleConnections {
public:
    IdleConnections(Clock& clock, Address address);
    ~IdleConnections();
    IdleConnections(IdleConnections const&) = delete;
    IdleConnections& operator=(IdleConnections const&) = delete;

    /// Connections over the count are closed at once.
    void setCount(size_t wanted);
    void step();

private:
    void dropClosed();

    Clock& clock;
    Address address;
    size_t count = 0;
    std::vector<int> descriptors;
    TimePoint nextAction;
};

} // namespace cornelpond
