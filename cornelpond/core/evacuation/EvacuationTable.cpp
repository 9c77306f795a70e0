#include "cornelpond/core/evacuation/EvacuationTable.h"

namespace cornelpond {

std::string encodeEvacuationCommand(EvacuationCommand const& command)
{
    ByteWriter out;
    out.number(static_cast<uint64_t>(command.change));
    out.text(command.dataCentre.value());
    out.number(static_cast<uint64_t>(command.wallMs));
    return out.take();
}

EvacuationCommand decodeEvacuationCommand(std::string_view bytes)
{
    ByteReader in(bytes);
    EvacuationCommand command;
    command.change = static_cast<EvacuationChange>(in.number());
    if (command.change != EvacuationChange::Start && command.change != EvacuationChange::Finish)
        in.fail();
    command.dataCentre = DataCentreId(std::string(in.text()));
    command.wallMs = static_cast<int64_t>(in.number());
    in.expectEnd();
    return command;
}

bool EvacuationTable::apply(EvacuationCommand const& command)
{
    if (command.change == EvacuationChange::Start)
        return this->startedWallMs.try_emplace(command.dataCentre, command.wallMs).second;
    return this->startedWallMs.erase(command.dataCentre);
}

std::string EvacuationTable::takeSnapshot() const
{
    if (this->startedWallMs.empty())
        return {};
    ByteWriter out;
    out.number(this->startedWallMs.size());
    for (auto const& [dataCentre, wallMs] : this->startedWallMs) {
        out.text(dataCentre.value());
        out.number(static_cast<uint64_t>(wallMs));
    }
    return out.take();
}

void EvacuationTable::restore(std::string const& snapshot)
{
    std::map<DataCentreId, int64_t> restored;
    if (!snapshot.empty()) {
        ByteReader in(snapshot);
        for (uint64_t remaining = in.number(); remaining; remaining--) {
            DataCentreId const dataCentre { std::string(in.text()) };
            restored[dataCentre] = static_cast<int64_t>(in.number());
        }
        in.expectEnd();
    }
    this->startedWallMs = std::move(restored);
}

} // namespace cornelpond
