#include "cornelpond/core/jobs/WorkerRoster.h"

#include <tuple>

namespace cornelpond {

namespace {

    /// First number of a stored command. The numbers never change meaning.
    enum class Tag : uint64_t {
        Put = 1,
        Remove = 2,
        Settle = 3,
    };

    void write(ByteWriter& out, WorkerProfile const& profile)
    {
        out.text(profile.id.value());
        out.number(static_cast<uint64_t>(profile.bornMs));
        out.text(profile.service.value());
        out.text(profile.dataCentre.value());
        out.text(profile.address);
        out.text(profile.rack.value());
        out.number(profile.labels.size());
        for (auto const& label : profile.labels)
            out.text(label);
        write(out, profile.capacity);
        out.number(profile.isDraining);
    }

    WorkerProfile readProfile(ByteReader& in)
    {
        WorkerProfile profile;
        profile.id = WorkerId(std::string(in.text()));
        profile.bornMs = static_cast<int64_t>(in.number());
        profile.service = ServiceId(std::string(in.text()));
        profile.dataCentre = DataCentreId(std::string(in.text()));
        profile.address = in.text();
        profile.rack = RackId(std::string(in.text()));
        for (uint64_t remaining = in.number(); remaining; remaining--)
            profile.labels.emplace_back(in.text());
        profile.capacity = readResources(in);
        profile.isDraining = in.number();
        return profile;
    }

} // namespace

bool WorkerProfile::operator==(WorkerProfile const& other) const
{
    auto const fieldsOf = [](WorkerProfile const& profile) {
        return std::tie(profile.id, profile.bornMs, profile.service, profile.dataCentre, profile.address, profile.rack, profile.labels, profile.capacity, profile.isDraining);
    };
    return fieldsOf(*this) == fieldsOf(other);
}

std::string encodeRosterCommand(RosterCommand const& command)
{
    ByteWriter out;
    if (auto const* put = std::get_if<PutWorker>(&command)) {
        out.number(static_cast<uint64_t>(Tag::Put));
        write(out, put->profile);
    } else if (auto const* remove = std::get_if<RemoveWorker>(&command)) {
        out.number(static_cast<uint64_t>(Tag::Remove));
        out.text(remove->id.value());
        out.number(static_cast<uint64_t>(remove->bornMs));
    } else {
        auto const& settle = std::get<SettleWorker>(command);
        out.number(static_cast<uint64_t>(Tag::Settle));
        out.text(settle.id.value());
        out.number(static_cast<uint64_t>(settle.bornMs));
    }
    return out.take();
}

RosterCommand decodeRosterCommand(std::string_view bytes)
{
    ByteReader in(bytes);
    RosterCommand command;
    auto const tag = static_cast<Tag>(in.number());
    if (tag == Tag::Put) {
        command = PutWorker { readProfile(in) };
    } else if (tag == Tag::Remove) {
        RemoveWorker remove;
        remove.id = WorkerId(std::string(in.text()));
        remove.bornMs = static_cast<int64_t>(in.number());
        command = remove;
    } else if (tag == Tag::Settle) {
        SettleWorker settle;
        settle.id = WorkerId(std::string(in.text()));
        settle.bornMs = static_cast<int64_t>(in.number());
        command = settle;
    } else {
        in.fail();
    }
    in.expectEnd();
    return command;
}

WorkerRoster::WorkerRoster(RosterHooks hooks)
    : hooks(std::move(hooks))
{
}

void WorkerRoster::apply(RosterCommand const& command)
{
    std::visit([&](auto const& value) { this->apply(value); }, command);
}

void WorkerRoster::apply(PutWorker const& command)
{
    auto const [entry, isNew] = this->workers.try_emplace(command.profile.id, command.profile);
    WorkerProfile& stored = entry->second;
    bool const isOtherProcess = stored.bornMs != command.profile.bornMs;
    if (!isNew) {
        if (stored.bornMs > command.profile.bornMs)
            return;
        bool const staysDraining = stored.isDraining && !isOtherProcess;
        stored = command.profile;
        stored.isDraining |= staysDraining;
        if (isOtherProcess)
            this->unsettled.insert(stored.id);
    }
    if (this->hooks.onWorkerChanged)
        this->hooks.onWorkerChanged(stored, isOtherProcess);
}

void WorkerRoster::apply(RemoveWorker const& command)
{
    auto const found = this->workers.find(command.id);
    if (found == this->workers.end() || found->second.bornMs > command.bornMs)
        return;
    this->workers.erase(found);
    this->unsettled.erase(command.id);
    if (this->hooks.onWorkerRemoved)
        this->hooks.onWorkerRemoved(command.id);
}

void WorkerRoster::apply(SettleWorker const& command)
{
    WorkerProfile const* stored = this->find(command.id);
    if (!stored || stored->bornMs != command.bornMs || !this->unsettled.erase(command.id))
        return;
    if (this->hooks.onWorkerSettled)
        this->hooks.onWorkerSettled(command.id);
}

std::string WorkerRoster::takeSnapshot() const
{
    ByteWriter out;
    out.number(this->workers.size());
    for (auto const& [id, profile] : this->workers)
        write(out, profile);
    // Left out when empty, so that earlier versions can read it.
    if (!this->unsettled.empty())
        out.number(this->unsettled.size());
    for (auto const& id : this->unsettled)
        out.text(id.value());
    return out.take();
}

void WorkerRoster::restore(std::string const& snapshot)
{
    std::map<WorkerId, WorkerProfile> restored;
    ByteReader in(snapshot);
    for (uint64_t remaining = in.number(); remaining; remaining--) {
        WorkerProfile profile = readProfile(in);
        WorkerId const id = profile.id;
        restored.emplace(id, std::move(profile));
    }
    std::set<WorkerId> restoredUnsettled;
    if (!in.isAtEnd()) {
        for (uint64_t remaining = in.number(); remaining; remaining--)
            restoredUnsettled.insert(WorkerId(std::string(in.text())));
    }
    in.expectEnd();
    this->workers = std::move(restored);
    this->unsettled = std::move(restoredUnsettled);
    if (!this->hooks.onUnsettledRestored)
        return;
    for (auto const& id : this->unsettled)
        this->hooks.onUnsettledRestored(id);
}

WorkerProfile const* WorkerRoster::find(WorkerId const& id) const
{
    auto const found = this->workers.find(id);
    return found == this->workers.end() ? nullptr : &found->second;
}

} // namespace cornelpond
