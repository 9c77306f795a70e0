#pragma once

// One small file that is replaced as a whole: after a crash it holds either the old or the new content.
//
// Example:
//   DurableFile file("/var/lib/cornelpond/config-in-force");
//   file.replace(bytes);
//   std::string const bytes = file.read();

#include <string>
#include <string_view>

namespace cornelpond {

class DurableFile {
public:
    explicit DurableFile(std::string path)
        : path(std::move(path))
    {
    }

    /// Replaces the content, durably on return. Creates the folder when absent. Throws Error(StorageFailed) or Error(DiskFull).
    void replace(std::string_view bytes) const;

    /// The content, or an empty string when there is none. Throws Error(StorageDamaged) when the checksum
    /// does not match and Error(StorageFailed) when it cannot be read.
    std::string read() const;

private:
    std::string path;
};

} // namespace cornelpond
