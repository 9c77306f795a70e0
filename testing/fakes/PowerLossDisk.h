#pragma once

// A disk whose power can be lost: records what is not durable yet, and makes of a folder what a power loss leaves of it.
//
// Example:
//   PowerLossDisk disk(folder.path());
//   { JournalStorage storage(folder.path(), events, disk.calls()); ... }
//   disk.losePower([&](size_t count) { return random.below(count); });
//
// After a power loss a file holds what its last sync covered. Each later write or change of its length, and each name that
// was created, renamed or removed since the folder's last sync, is kept or lost by itself; of a write that is kept, the
// beginning or the end may be missing.

#include "cornelpond/adapters/journal/JournalStorage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cornelpond {

class PowerLossDisk {
public:
    /// Returns a number below `count`.
    using Choose = std::function<size_t(size_t count)>;

    /// The folder must be empty.
    explicit PowerLossDisk(std::string folder);

    /// Carries out the calls in the folder and records them. The object must outlive the result.
    FileSystemCalls calls();

    /// After so many further calls all fail, as if the power was lost then; until `losePower`.
    void failAfter(size_t calls) { this->callsUntilFailure = calls; }

    /// Leaves in the folder what is durable and what `choose` keeps of the rest. No file may be open.
    void losePower(Choose const& choose);

private:
    using FileNumber = size_t;

    /// A write at `offset`, or with `isLength` a change of the length to `offset`.
    struct Change {
        size_t offset = 0;
        std::string bytes;
        bool isLength = false;
    };

    struct File {
        std::string durable;
        std::string content;
        std::vector<Change> pending;
    };

    /// `name` refers to `file` from now on, and `formerName` to none. Each may be empty. A rename is kept or lost as a whole.
    struct NameChange {
        std::string name;
        FileNumber file = 0;
        std::string formerName;
    };

    using Names = std::map<std::string, FileNumber>;

    /// False, with errno set, when the call is to fail.
    bool takeCall();
    std::string nameOf(char const* path) const;
    void changeName(NameChange const& change);
    static void apply(NameChange const& change, Names& names);
    void recordOpen(int descriptor, char const* path, int flags);
    static void apply(Change const& change, std::string& content);
    static void applyPart(Change const& change, std::string& content, Choose const& choose);

    std::string folder;
    std::map<FileNumber, File> files;
    std::map<int, FileNumber> descriptors;
    Names names;
    Names durableNames;
    std::vector<NameChange> pendingNames;
    FileNumber nextFile = 1;
    size_t callsUntilFailure = SIZE_MAX;
};

} // namespace cornelpond
