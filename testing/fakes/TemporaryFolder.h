#pragma once

// A temporary folder for one test; the destructor removes it with its contents.

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace cornelpond {

class TemporaryFolder {
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "cornelpond-XXXXXX").string();
        if (!mkdtemp(pattern.data()))
            throw std::runtime_error("cannot create a temporary folder");
        this->folderPath = pattern;
    }

    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->folderPath, ignored);
    }

    TemporaryFolder(TemporaryFolder const&) = delete;
    TemporaryFolder& operator=(TemporaryFolder const&) = delete;

    std::string const& path() const { return this->folderPath; }

private:
    std::string folderPath;
};

} // namespace cornelpond
