#include "cornelpond/core/agreement/StateMachineSet.h"

#include "cornelpond/core/base/Json.h"

#include <nlohmann/json.hpp>

#include <set>

namespace cornelpond {

class StateMachineSet::Facade final : public CommandLog {
public:
    Facade(StateMachineSet const& set, StateMachinePart part)
        : set(set)
        , part(part)
    {
    }

    bool isLeader() const override { return this->set.log && this->set.log->isLeader(); }
    bool isLeadershipConfirmed() const override { return this->set.log && this->set.log->isLeadershipConfirmed(); }
    Term term() const override { return this->set.log ? this->set.log->term() : Term(); }
    HostId leader() const override { return this->set.log ? this->set.log->leader() : HostId(); }

    void propose(std::string command, Done done) override
    {
        if (!this->set.log) {
            done({ ResultCode::NotLeader, LogIndex() });
            return;
        }
        command.insert(command.begin(), static_cast<char>(this->part));
        this->set.log->propose(std::move(command), std::move(done));
    }

private:
    StateMachineSet const& set;
    StateMachinePart part;
};

struct StateMachineSet::Entry {
    Facade facade;
    StateMachineHooks hooks;
};

StateMachineSet::StateMachineSet() = default;
StateMachineSet::~StateMachineSet() = default;

CommandLog& StateMachineSet::add(StateMachinePart part, StateMachineHooks hooks)
{
    auto& entry = this->parts[part];
    entry.reset(new Entry { Facade(*this, part), std::move(hooks) });
    return entry->facade;
}

StateMachineHooks StateMachineSet::hooks()
{
    StateMachineHooks result;
    result.apply = [this](LogIndex index, std::string const& command) { this->apply(index, command); };
    result.takeSnapshot = [this] { return this->takeSnapshot(); };
    result.restore = [this](std::string const& state) { this->restore(state); };
    result.onLeadership = [this](bool isLeader) {
        for (auto const& [part, entry] : this->parts)
            entry->hooks.onLeadership(isLeader);
    };
    return result;
}

void StateMachineSet::apply(LogIndex index, std::string const& command)
{
    if (command.empty())
        throw Error(ResultCode::StorageDamaged, "a command without its part");
    auto const found = this->parts.find(static_cast<StateMachinePart>(command.front()));
    if (found == this->parts.end())
        throw Error(ResultCode::StorageDamaged, "a command for an unknown part");
    found->second->hooks.apply(index, command.substr(1));
}

std::string StateMachineSet::takeSnapshot() const
{
    nlohmann::json snapshot = nlohmann::json::array();
    for (auto const& [part, entry] : this->parts) {
        std::string const state = entry->hooks.takeSnapshot();
        if (state.empty() && part >= StateMachinePart::Evacuations)
            continue; // So that hosts of earlier versions, which lack these parts, can restore it.
        snapshot.push_back({ static_cast<uint8_t>(part), nlohmann::json::binary(std::vector<uint8_t>(state.begin(), state.end())) });
    }
    return toCbor(snapshot);
}

void StateMachineSet::restore(std::string const& state)
{
    std::set<StateMachinePart> missing;
    for (auto const& [part, entry] : this->parts) {
        if (part >= StateMachinePart::Evacuations)
            missing.insert(part);
    }
    try {
        for (auto const& part : fromCbor(state)) {
            auto const found = this->parts.find(static_cast<StateMachinePart>(part.at(0).get<uint8_t>()));
            if (found == this->parts.end())
                throw Error(ResultCode::StorageDamaged, "a snapshot of an unknown part");
            auto const& bytes = part.at(1).get_binary();
            found->second->hooks.restore(std::string(bytes.begin(), bytes.end()));
            missing.erase(found->first);
        }
        for (StateMachinePart const part : missing)
            this->parts.at(part)->hooks.restore(std::string());
    } catch (nlohmann::json::exception const& error) {
        throw Error(ResultCode::StorageDamaged, std::string("snapshot: ") + error.what());
    }
}

} // namespace cornelpond
