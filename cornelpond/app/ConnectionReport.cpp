#include "cornelpond/app/ConnectionReport.h"

namespace cornelpond {

namespace {

    constexpr Duration reportInterval = Duration::seconds(1);

} // namespace

void ConnectionReport::update(TimePoint now, ConnectionFigures const& figures)
{
    if (now < this->nextAt)
        return;
    this->nextAt = now + reportInterval;
    uint64_t const refused = figures.incomingRefused - this->reported.incomingRefused;
    uint64_t const delayed = figures.requestsDelayed - this->reported.requestsDelayed;
    uint64_t const unsent = figures.requestsUnsent - this->reported.requestsUnsent;
    this->reported = figures;
    if (!refused && !delayed && !unsent)
        return;
    this->events.emit(Event(EventId::ConnectionBoundReached)
                          .with("incoming", figures.incomingOpen)
                          .with("incomingBound", figures.incomingBound)
                          .with("refused", refused)
                          .with("outgoing", figures.outgoingOpen)
                          .with("outgoingBound", figures.outgoingBound)
                          .with("waiting", figures.requestsWaiting)
                          .with("delayed", delayed)
                          .with("unsent", unsent)
                          .with("peers", figures.peersOpen)
                          .with("peersBound", figures.peersBound));
}

} // namespace cornelpond
