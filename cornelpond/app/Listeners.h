#pragma once

// Opens a host's HTTP listeners and logs each.

#include "cornelpond/adapters/http/HttpServer.h"
#include "cornelpond/ports/EventSink.h"

#include <string>

namespace cornelpond {

/// Does nothing for an address without an IP number. Throws Error(BadSettings) when the address cannot be bound.
inline void openListener(HttpServer& server, std::string const& name, Address const& address, EventSink& events)
{
    if (address.ip.empty())
        return;
    uint16_t const port = server.listen(address);
    events.emit(Event(EventId::ListenerOpened).with("listener", name).with("address", Address { address.ip, port }.text()));
}

} // namespace cornelpond
