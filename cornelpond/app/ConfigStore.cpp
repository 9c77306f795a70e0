#include "cornelpond/app/ConfigStore.h"

#include "cornelpond/core/base/ResultCode.h"

namespace cornelpond {

namespace {

    constexpr Duration retryInterval = Duration::seconds(1);
    constexpr Duration faultInterval = Duration::seconds(5); ///< Between two ConfigurationStoreFailed lines.

} // namespace

ConfigStore::ConfigStore(Clock const& clock, EventSink& events, std::string path)
    : clock(clock)
    , events(events)
    , file(std::move(path))
{
}

void ConfigStore::store(std::string const& bytes)
{
    if (this->unstored)
        this->unstored->bytes = bytes;
    else
        this->unstored = Unstored { bytes, this->clock.now(), TimePoint::distantPast(), TimePoint::distantPast() };
    this->tryToStore();
}

void ConfigStore::onTick()
{
    if (this->unstored && this->clock.now() - this->unstored->triedAt >= retryInterval)
        this->tryToStore();
}

void ConfigStore::tryToStore()
{
    this->unstored->triedAt = this->clock.now();
    try {
        this->file.replace(this->unstored->bytes);
    } catch (Error const& error) {
        this->onFailure(static_cast<int>(error.code()), error.what());
        return;
    }
    bool const hadFailed = this->unstored->reportedAt > TimePoint::distantPast();
    if (hadFailed)
        this->events.emit(Event(EventId::ConfigurationStored).with("lastedMs", this->clock.now() - this->unstored->since));
    this->unstored.reset();
}

void ConfigStore::onFailure(int code, std::string const& reason)
{
    TimePoint const now = this->clock.now();
    if (now - this->unstored->reportedAt < faultInterval)
        return;
    this->unstored->reportedAt = now;
    this->events.emit(Event(EventId::ConfigurationStoreFailed).with("code", code).with("reason", reason).with("lastedMs", now - this->unstored->since));
}

} // namespace cornelpond
