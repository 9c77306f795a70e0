#pragma once

// Finds the journal files of a stopped host, to damage them as a power loss or a failing disk would.
//
// Example:
//   std::ofstream(newestJournal(dataFolder), std::ios::app) << "torn";

#include <filesystem>
#include <string>

namespace cornelpond {

/// The file of the folder tree that was written last and holds something; empty: none.
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
