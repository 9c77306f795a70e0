#include "testing/fakes/PowerLossDisk.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace cornelpond {

PowerLossDisk::PowerLossDisk(std::string folder)
    : folder(std::move(folder))
{
}

bool PowerLossDisk::takeCall()
{
    if (this->callsUntilFailure == SIZE_MAX)
        return true;
    if (!this->callsUntilFailure) {
        errno = EIO;
        return false;
    }
    this->callsUntilFailure--;
    return true;
}

std::string PowerLossDisk::nameOf(char const* path) const
{
    std::filesystem::path const file(path);
    return file.parent_path() == this->folder ? file.filename().string() : std::string();
}

void PowerLossDisk::changeName(NameChange const& change)
{
    apply(change, this->names);
    this->pendingNames.push_back(change);
}

void PowerLossDisk::apply(NameChange const& change, Names& names)
{
    names.erase(change.formerName);
    if (!change.name.empty())
        names[change.name] = change.file;
}

void PowerLossDisk::recordOpen(int descriptor, char const* path, int flags)
{
    std::string const name = this->nameOf(path);
    if (descriptor < 0 || name.empty() || (flags & O_DIRECTORY))
        return;
    if (!this->names.count(name)) {
        this->changeName({ name, this->nextFile, std::string() });
        this->files[this->nextFile++];
    }
    FileNumber const file = this->names.at(name);
    this->descriptors[descriptor] = file;
    if (flags & O_TRUNC) {
        this->files[file].pending.push_back({ 0, std::string(), true });
        this->files[file].content.clear();
    }
}

FileSystemCalls PowerLossDisk::calls()
{
    FileSystemCalls calls;
    calls.open = [this](char const* path, int flags) {
        if (!this->takeCall())
            return -1;
        int const descriptor = ::open(path, flags, 0600);
        this->recordOpen(descriptor, path, flags);
        return descriptor;
    };
    calls.write = [this](int descriptor, void const* bytes, size_t count) {
        if (!this->takeCall())
            return ssize_t(-1);
        ssize_t const written = ::write(descriptor, bytes, count);
        if (written > 0) {
            File& file = this->files.at(this->descriptors.at(descriptor));
            // All files of a journal are written at their end.
            file.pending.push_back({ file.content.size(), std::string(static_cast<char const*>(bytes), static_cast<size_t>(written)), false });
            apply(file.pending.back(), file.content);
        }
        return written;
    };
    calls.truncate = [this](int descriptor, off_t length) {
        if (!this->takeCall())
            return -1;
        File& file = this->files.at(this->descriptors.at(descriptor));
        file.pending.push_back({ static_cast<size_t>(length), std::string(), true });
        apply(file.pending.back(), file.content);
        return ::ftruncate(descriptor, length);
    };
    calls.sync = [this](int descriptor) {
        if (!this->takeCall())
            return -1;
        File& file = this->files.at(this->descriptors.at(descriptor));
        file.durable = file.content;
        file.pending.clear();
        return 0;
    };
    calls.syncFolder = [this](int) {
        if (!this->takeCall())
            return -1;
        this->durableNames = this->names;
        this->pendingNames.clear();
        return 0;
    };
    calls.rename = [this](char const* from, char const* to) {
        if (!this->takeCall())
            return -1;
        this->changeName({ this->nameOf(to), this->names.at(this->nameOf(from)), this->nameOf(from) });
        return std::rename(from, to);
    };
    calls.unlink = [this](char const* path) {
        if (!this->takeCall())
            return -1;
        if (this->names.count(this->nameOf(path)))
            this->changeName({ std::string(), 0, this->nameOf(path) });
        return ::unlink(path);
    };
    return calls;
}

void PowerLossDisk::apply(Change const& change, std::string& content)
{
    if (change.isLength) {
        content.resize(change.offset);
        return;
    }
    content.resize(std::max(content.size(), change.offset + change.bytes.size()));
    content.replace(change.offset, change.bytes.size(), change.bytes);
}

void PowerLossDisk::applyPart(Change const& change, std::string& content, Choose const& choose)
{
    enum Fate : size_t {
        Kept,
        Lost,
        BeginningKept,
        EndKept,
        FateCount,
    };
    size_t const fate = choose(change.isLength ? Lost + 1 : FateCount);
    if (fate == Lost)
        return;
    Change kept = change;
    size_t const cut = fate == Kept ? 0 : choose(change.bytes.size());
    if (fate == BeginningKept) {
        kept.bytes.resize(cut);
    } else if (fate == EndKept) {
        kept.bytes.erase(0, cut);
        kept.offset += cut;
    }
    apply(kept, content);
}

void PowerLossDisk::losePower(Choose const& choose)
{
    this->callsUntilFailure = SIZE_MAX;
    for (auto const& change : this->pendingNames) {
        if (choose(2))
            apply(change, this->durableNames);
    }
    std::map<FileNumber, File> left;
    for (auto const& [name, number] : this->durableNames) {
        File& file = left[number];
        file.durable = this->files.at(number).durable;
        for (auto const& change : this->files.at(number).pending)
            applyPart(change, file.durable, choose);
        file.content = file.durable;
    }
    this->files = std::move(left);
    this->names = this->durableNames;
    this->pendingNames.clear();
    this->descriptors.clear();
    for (auto const& entry : std::filesystem::directory_iterator(this->folder))
        std::filesystem::remove(entry.path());
    for (auto const& [name, number] : this->names)
        std::ofstream(this->folder + "/" + name, std::ios::binary) << this->files.at(number).content;
}

} // namespace cornelpond
