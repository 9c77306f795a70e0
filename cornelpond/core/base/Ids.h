#pragma once

// Strong identifiers. Each kind of id is its own type, so that a task id cannot be passed where a
// worker id is expected.
//
// Example:
//   WorkerId const worker("w-17");
//   std::unordered_map<WorkerId, LeasedWorker> workers;

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace cornelpond {

/// A textual identifier; `Tag` only distinguishes the kinds.
template <typename Tag>
class TextId {
public:
    TextId() = default;
    explicit TextId(std::string text)
        : text(std::move(text))
    {
    }

    std::string const& value() const { return this->text; }
    bool empty() const { return this->text.empty(); }

    bool operator==(TextId const& other) const { return this->text == other.text; }
    bool operator!=(TextId const& other) const { return this->text != other.text; }
    bool operator<(TextId const& other) const { return this->text < other.text; }

private:
    std::string text;
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, TextId<Tag> const& id)
{
    return out << id.value();
}

/// A numeric identifier or counter; `Tag` only distinguishes the kinds.
template <typename Tag>
class NumberId {
public:
    constexpr NumberId() = default;
    explicit constexpr NumberId(uint64_t number)
        : number(number)
    {
    }

    constexpr uint64_t value() const { return this->number; }
    constexpr NumberId next() const { return NumberId(this->number + 1); }

    constexpr bool operator==(NumberId other) const { return this->number == other.number; }
    constexpr bool operator!=(NumberId other) const { return this->number != other.number; }
    constexpr bool operator<(NumberId other) const { return this->number < other.number; }
    constexpr bool operator<=(NumberId other) const { return this->number <= other.number; }
    constexpr bool operator>(NumberId other) const { return this->number > other.number; }
    constexpr bool operator>=(NumberId other) const { return this->number >= other.number; }

private:
    uint64_t number = 0;
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, NumberId<Tag> id)
{
    return out << id.value();
}

using HostId = TextId<struct HostIdTag>; ///< Identity of an entry host; a host that lost its disk gets a new one.
using DataCentreId = TextId<struct DataCentreIdTag>;
using WorkerId = TextId<struct WorkerIdTag>;
using RackId = TextId<struct RackIdTag>;
using TaskId = TextId<struct TaskIdTag>;
using AssociationId = TextId<struct AssociationIdTag>;
using ServiceId = TextId<struct ServiceIdTag>;
using BackendServerId = TextId<struct BackendServerIdTag>;
using CheckpointId = TextId<struct CheckpointIdTag>;
using GroupId = TextId<struct GroupIdTag>; ///< One replicated log: "config" or "tasks/DATACENTRE".

using AttemptNumber = NumberId<struct AttemptNumberTag>; ///< Increases with every start of a task; 0 means never started.
using Term = NumberId<struct TermTag>;
using LogIndex = NumberId<struct LogIndexTag>; ///< 1 for a log's first entry; 0 means none.
using ConfigVersion = NumberId<struct ConfigVersionTag>; ///< 0 is the built-in empty configuration.
using AnnouncementNumber = NumberId<struct AnnouncementNumberTag>; ///< Counts the announcements of one worker process.

} // namespace cornelpond

namespace std {

template <typename Tag>
struct hash<cornelpond::TextId<Tag>> {
    size_t operator()(cornelpond::TextId<Tag> const& id) const { return hash<string>()(id.value()); }
};

template <typename Tag>
struct hash<cornelpond::NumberId<Tag>> {
    size_t operator()(cornelpond::NumberId<Tag> id) const { return hash<uint64_t>()(id.value()); }
};

} // namespace std
