#include "testing/standin/Record.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace cornelpond {

namespace {

    constexpr std::array<std::string_view, 10> kindNames
        = { "workerUp", "attemptStart", "attemptEnd", "requestRun", "requestAnswered", "requestAbandoned", "slotsExceeded", "connectionsExceeded", "serverLeft", "serverJoined" };

    RecordKind kindFromName(std::string const& name)
    {
        auto const* const found = std::find(kindNames.begin(), kindNames.end(), name);
        if (found == kindNames.end())
            throw std::runtime_error("unknown record kind " + name);
        return static_cast<RecordKind>(found - kindNames.begin());
    }

    RecordEntry fromJson(nlohmann::json const& line)
    {
        RecordEntry entry;
        entry.atUs = line["us"].get<int64_t>();
        entry.kind = kindFromName(line["kind"].get<std::string>());
        entry.place = line["place"].get<std::string>();
        entry.task = TaskId(line.value("task", std::string()));
        entry.attempt = line.value("attempt", uint64_t(0));
        entry.resources = { line.value("milliCores", int64_t(0)), line.value("memoryMiB", int64_t(0)), line.value("accelerators", int64_t(0)) };
        entry.checkpoint = line.value("checkpoint", std::string());
        entry.outcome = line.value("outcome", std::string());
        entry.key = line.value("key", std::string());
        entry.request = line.value("request", std::string());
        return entry;
    }

    nlohmann::json toJson(RecordEntry const& entry)
    {
        nlohmann::json line = { { "us", entry.atUs }, { "kind", std::string(recordKindName(entry.kind)) }, { "place", entry.place } };
        if (!entry.task.empty()) {
            line["task"] = entry.task.value();
            line["attempt"] = entry.attempt;
        }
        if (!(entry.resources == Resources())) {
            line["milliCores"] = entry.resources.milliCores;
            line["memoryMiB"] = entry.resources.memoryMiB;
            line["accelerators"] = entry.resources.accelerators;
        }
        auto const addText = [&](char const* name, std::string const& text) {
            if (!text.empty())
                line[name] = text;
        };
        addText("checkpoint", entry.checkpoint);
        addText("outcome", entry.outcome);
        addText("key", entry.key);
        addText("request", entry.request);
        return line;
    }

} // namespace

std::string_view recordKindName(RecordKind kind)
{
    return kindNames.at(static_cast<size_t>(kind));
}

RecordFile::RecordFile(std::string const& path)
{
    if (!path.empty())
        this->out.open(path, std::ios::app);
}

void RecordFile::add(RecordEntry const& entry)
{
    if (!this->out.is_open())
        return;
    this->out << toJson(entry).dump() + "\n";
    this->out.flush();
}

std::vector<RecordEntry> readRecord(std::string const& path)
{
    std::vector<RecordEntry> entries;
    std::ifstream in(path);
    std::string line;
    while (std::getline(in, line)) {
        nlohmann::json const parsed = nlohmann::json::parse(line, nullptr, false);
        if (parsed.is_object())
            entries.push_back(fromJson(parsed));
    }
    std::stable_sort(entries.begin(), entries.end(), [](auto const& left, auto const& right) { return left.atUs < right.atUs; });
    return entries;
}

} // namespace cornelpond
