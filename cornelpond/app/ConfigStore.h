#pragma once

// The configuration in force on the disk of one host. A version that could not be written is written again until it
// is stored or a later one comes.
//
// Example:
//   ConfigStore store(clock, events, folder + "/config-in-force");
//   store.store(bytes);
//   store.onTick(); // From time to time.

#include "cornelpond/adapters/file/DurableFile.h"
#include "cornelpond/core/base/Duration.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/EventSink.h"

#include <optional>

namespace cornelpond {

class ConfigStore {
public:
    /// References must outlive the object.
    ConfigStore(Clock const& clock, EventSink& events, std::string path);

    /// What was stored last, or an empty string. Throws Error.
    std::string read() const { return this->file.read(); }

    void store(std::string const& bytes);
    void onTick();

private:
    struct Unstored {
        std::string bytes;
        TimePoint since;
        TimePoint triedAt;
        TimePoint reportedAt;
    };

    void tryToStore();
    void onFailure(int code, std::string const& reason);

    Clock const& clock;
    EventSink& events;
    DurableFile file;
    std::optional<Unstored> unstored;
};

} // namespace cornelpond
