#pragma once

// Finds the newest journal file of a stopped host, for tests that damage it as a power loss or a failing disk would.
//
// Example:
//   std::ofstream(newestJournalFile(dataFolder), std::ios::app) << "torn";

#include <filesystem>
#include <string>

namespace cornelpond {

/// Path of the most recently written non-empty file in the folder or its subfolders; an empty string if there is none.
inline std::string newestJournalFile(std::string const& folder)
{
    std::string newest;
    for (auto const& file : std::filesystem::recursive_directory_iterator(folder)) {
        if (file.is_regular_file() && file.file_size() && (newest.empty() || file.last_write_time() > std::filesystem::last_write_time(newest)))
            newest = file.path();
    }
    return newest;
}

} // namespace cornelpond
