#include "cornelpond/app/SettingsWatch.h"

namespace cornelpond {

namespace {

    constexpr Duration checkInterval = Duration::seconds(1);

} // namespace

SettingsWatch::SettingsWatch(Timers& timers, EventSink& events, std::string path, OnChanged onChanged)
    : timers(timers)
    , events(events)
    , path(std::move(path))
    , onChanged(std::move(onChanged))
    , lastContent(readTextFile(this->path))
{
}

SettingsWatch::~SettingsWatch()
{
    this->timers.cancel(this->timer);
}

void SettingsWatch::start()
{
    this->schedule();
}

void SettingsWatch::schedule()
{
    this->timer = this->timers.after(checkInterval, [this] {
        this->schedule();
        this->checkFile(false);
    });
}

void SettingsWatch::reload()
{
    this->checkFile(true);
}

void SettingsWatch::checkFile(bool isRequested)
{
    try {
        std::string const newContent = readTextFile(this->path);
        bool const hasChanged = newContent != this->lastContent;
        if (!hasChanged && !isRequested)
            return;
        this->lastContent = newContent;
        FleetSettings const settings = loadFleetSettings(this->path);
        this->events.emit(Event(EventId::SettingsReloaded).with("changed", static_cast<int>(hasChanged)));
        if (hasChanged)
            this->onChanged(settings);
    } catch (Error const& error) {
        this->events.emit(Event(EventId::SettingsRefused).with("reason", std::string(error.what())));
    }
}

} // namespace cornelpond
