#pragma once

// Notices that a settings file has changed, on a signal or silently, and reads it again. A file that cannot
// be used leaves the former settings in force.
//
// Example:
//   SettingsWatch watch(loop, events, path, [&](FleetSettings const& changed) { host.onSettings(changed); });
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

    /// Looks at the file every second from now on.
    void start();

    /// Looks at once; logs also that nothing changed.
    void reload();

private:
    void checkFile(bool isAsked);
    void schedule();

    Timers& timers;
    EventSink& events;
    std::string path;
    OnChanged onChanged;
    std::string lastContent; ///< As last read, usable or not.
    TimerId timer;
};

} // namespace cornelpond
