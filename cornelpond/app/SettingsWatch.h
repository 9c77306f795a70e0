#pragma once

// Reloads a settings file when its content has changed, which is checked every second and on request. A file
// that cannot be read or is not valid leaves the former settings in force.
//
// Example:
//   SettingsWatch watch(loop, events, path, [&](FleetSettings const& changed) { host.onSettingsChanged(changed); });
//   watch.start();

#include "cornelpond/app/FleetSettings.h"
#include "cornelpond/ports/EventSink.h"
#include "cornelpond/ports/Timers.h"

#include <functional>

namespace cornelpond {

class SettingsWatch {
public:
    using OnChanged = std::function<void(FleetSettings const&)>;

    /// References must outlive the object.
    SettingsWatch(Timers& timers, EventSink& events, std::string path, OnChanged onChanged);
    ~SettingsWatch();
    SettingsWatch(SettingsWatch const&) = delete;
    SettingsWatch& operator=(SettingsWatch const&) = delete;

    /// Checks the file every second from now on.
    void start();

    /// Checks the file at once; logs also that nothing has changed.
    void reload();

private:
    void checkFile(bool isRequested);
    void schedule();

    Timers& timers;
    EventSink& events;
    std::string path;
    OnChanged onChanged;
    std::string lastContent; ///< As last read, valid or not.
    TimerId timer;
};

} // namespace cornelpond
