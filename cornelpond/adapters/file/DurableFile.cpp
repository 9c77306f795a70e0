#include "cornelpond/adapters/file/DurableFile.h"

#include "cornelpond/core/base/ResultCode.h"

#include <boost/crc.hpp>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace cornelpond {

namespace {

    constexpr size_t checksumBytes = 4;

    [[noreturn]] void fail(std::string const& what)
    {
        int const error = errno;
        ResultCode const code = error == ENOSPC || error == EDQUOT ? ResultCode::DiskFull : ResultCode::StorageFailed;
        throw Error(code, what + ": " + std::strerror(error));
    }

    std::string checksumOf(std::string_view bytes)
    {
        boost::crc_32_type crc;
        crc.process_bytes(bytes.data(), bytes.size());
        uint32_t const sum = crc.checksum();
        std::string text;
        for (size_t i = 0; i < checksumBytes; i++)
            text += static_cast<char>((sum >> (8 * i)) & 0xff);
        return text;
    }

    void writeAll(int file, std::string_view bytes, std::string const& path)
    {
        while (!bytes.empty()) {
            ssize_t const written = ::write(file, bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0)
                fail("cannot write " + path);
            bytes.remove_prefix(static_cast<size_t>(written));
        }
    }

    /// A file descriptor that is closed at the end of its scope.
    struct OpenFile {
        explicit OpenFile(std::string const& path, int flags)
            : descriptor(::open(path.c_str(), flags | O_CLOEXEC, 0600))
        {
            if (this->descriptor < 0)
                fail("cannot open " + path);
        }
        ~OpenFile() { ::close(this->descriptor); }
        OpenFile(OpenFile const&) = delete;
        OpenFile& operator=(OpenFile const&) = delete;

        int descriptor;
    };

    void syncFile(OpenFile const& file, std::string const& path)
    {
        if (::fsync(file.descriptor) < 0)
            fail("cannot sync " + path);
    }

} // namespace

void DurableFile::replace(std::string_view bytes) const
{
    std::filesystem::path const folder = std::filesystem::path(this->path).parent_path();
    std::error_code ignored;
    std::filesystem::create_directories(folder, ignored);
    std::string const temporary = this->path + ".new";
    {
        OpenFile const file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
        writeAll(file.descriptor, checksumOf(bytes), temporary);
        writeAll(file.descriptor, bytes, temporary);
        syncFile(file, temporary);
    }
    if (std::rename(temporary.c_str(), this->path.c_str()) < 0)
        fail("cannot rename " + temporary);
    OpenFile const directory(folder.string(), O_RDONLY | O_DIRECTORY);
    syncFile(directory, folder.string());
}

std::string DurableFile::read() const
{
    if (!std::filesystem::exists(this->path))
        return std::string();
    std::ifstream in(this->path, std::ios::binary);
    if (!in)
        throw Error(ResultCode::StorageFailed, "cannot read " + this->path);
    std::string const all { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
    std::string bytes = all.size() < checksumBytes ? std::string() : all.substr(checksumBytes);
    if (all.size() < checksumBytes || all.compare(0, checksumBytes, checksumOf(bytes)) != 0)
        throw Error(ResultCode::StorageDamaged, "the checksum of " + this->path + " does not match");
    return bytes;
}

} // namespace cornelpond
