#include "cornelpond/adapters/log/EventGathering.h"

#include "cornelpond/adapters/log/JsonEventSink.h"
#include "cornelpond/adapters/log/LogText.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr std::string_view taskKey = "task";

    EventField const* taskOf(Event const& event)
    {
        auto const& fields = event.fields();
        auto const found = std::find_if(fields.begin(), fields.end(), [](EventField const& field) { return field.key == taskKey && !field.isNumber; });
        return found == fields.end() ? nullptr : &*found;
    }

    /// The task's id without its index; empty for an id without one.
    std::string_view stageOf(std::string_view task)
    {
        size_t const dot = task.rfind('.');
        bool const hasIndex = dot != std::string_view::npos && dot + 1 < task.size() && std::all_of(task.begin() + static_cast<std::ptrdiff_t>(dot) + 1, task.end(), [](char byte) { return byte >= '0' && byte <= '9'; });
        return hasIndex ? task.substr(0, dot) : std::string_view();
    }

    bool hasSameKeys(Event const& left, Event const& right)
    {
        auto const& a = left.fields();
        auto const& b = right.fields();
        return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](EventField const& x, EventField const& y) { return x.key == y.key && x.isNumber == y.isNumber; });
    }

    void appendField(std::string& line, EventField const& field)
    {
        if (field.isNumber)
            line += field.value;
        else
            appendJsonText(line, field.value);
    }

    /// The positions of the fields that differ between the events, except the task.
    std::vector<size_t> differingFields(GatheredEvents const& events)
    {
        auto const& first = events.front().event.fields();
        std::vector<size_t> differing;
        for (size_t i = 0; i < first.size(); i++) {
            bool const differs = std::any_of(events.begin() + 1, events.end(), [&](GatheredEvent const& gathered) { return gathered.event.fields()[i].value != first[i].value; });
            if (differs && first[i].key != taskKey)
                differing.push_back(i);
        }
        return differing;
    }

    void appendCommonFields(std::string& line, Event const& event, std::vector<size_t> const& differing)
    {
        auto const& fields = event.fields();
        for (size_t i = 0; i < fields.size(); i++) {
            if (fields[i].key == taskKey || std::binary_search(differing.begin(), differing.end(), i))
                continue;
            ((line += ",\"") += fields[i].key) += "\":";
            appendField(line, fields[i]);
        }
    }

    void appendRow(std::string& line, GatheredEvent const& gathered, int64_t firstWallMs, std::vector<size_t> const& differing)
    {
        std::string const& task = taskOf(gathered.event)->value;
        (line += '[') += std::to_string(gathered.wallMs - firstWallMs);
        (line += ',').append(task, task.rfind('.') + 1);
        for (size_t const i : differing) {
            line += ',';
            appendField(line, gathered.event.fields()[i]);
        }
        line += ']';
    }

} // namespace

std::string formatGatheredEvents(GatheredEvents const& events, HostId const& host)
{
    GatheredEvent const& first = events.front();
    if (events.size() == 1)
        return formatJsonEvent(first.event, host, first.wallMs);
    std::string line = formatJsonEvent(Event(first.event.id()).with("stage", std::string(stageOf(taskOf(first.event)->value))), host, first.wallMs);
    line.pop_back();
    std::vector<size_t> const differing = differingFields(events);
    appendCommonFields(line, first.event, differing);
    line += ",\"columns\":[\"atMs\",\"index\"";
    for (size_t const i : differing)
        ((line += ",\"") += first.event.fields()[i].key) += '"';
    line += "],\"rows\":[";
    for (auto const& gathered : events) {
        appendRow(line, gathered, first.wallMs, differing);
        line += ',';
    }
    line.back() = ']';
    line += '}';
    return line;
}

EventGathering::EventGathering(GatheringLimits limits, Release onRelease)
    : limits(limits)
    , onRelease(std::move(onRelease))
{
}

bool EventGathering::add(Event const& event, TimePoint now, int64_t wallMs)
{
    EventField const* task = taskOf(event);
    std::string_view const stage = task ? stageOf(task->value) : std::string_view();
    if (stage.empty())
        return false;
    if (this->keptEvents >= this->limits.maxKeptEvents)
        this->releaseAll();
    if (!this->keptEvents++)
        this->keptSince = now;
    GatheredEvents& group = this->groupOf(event, stage);
    group.push_back({ event, wallMs });
    if (group.size() >= this->limits.maxRowsPerLine)
        this->releaseGroup(group);
    return true;
}

/// The group that takes the event; it may be empty.
GatheredEvents& EventGathering::groupOf(Event const& event, std::string_view stage)
{
    this->key = std::to_string(static_cast<int>(event.id()));
    (this->key += ' ') += stage;
    auto const [entry, isNew] = this->groupsByKey.try_emplace(this->key, this->groups.size());
    if (isNew)
        this->groups.emplace_back();
    GatheredEvents& group = this->groups[entry->second];
    if (!group.empty() && !hasSameKeys(group.front().event, event))
        this->releaseGroup(group);
    return group;
}

void EventGathering::releaseGroup(GatheredEvents& group)
{
    if (!group.empty())
        this->onRelease(group);
    this->keptEvents -= group.size();
    group.clear();
}

void EventGathering::release(TimePoint now)
{
    if (!this->groups.empty() && now - this->keptSince >= this->limits.window)
        this->releaseAll();
}

void EventGathering::releaseAll()
{
    for (auto& group : this->groups)
        this->releaseGroup(group);
    this->groups.clear();
    this->groupsByKey.clear();
}

} // namespace cornelpond
