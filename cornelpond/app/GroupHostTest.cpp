#include "cornelpond/app/GroupHost.h"

#include "testing/fakes/FakeClock.h"
#include "testing/fakes/RecordingEventSink.h"
#include "testing/fakes/TemporaryFolder.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

using namespace cornelpond;

namespace {

struct OneGroup {
    OneGroup()
        : groups(clock, clock, random, events, HostId("a"), folder.path(), Duration(), [](HostId const&, std::string const&) {})
    {
        StateMachineHooks hooks;
        hooks.apply = [](LogIndex, std::string const&) {};
        hooks.takeSnapshot = [] { return std::string(); };
        hooks.restore = [](std::string const&) {};
        hooks.onLeadership = [](bool) {};
        this->groups.open(this->group, { { HostId("a"), HostId("b"), HostId("c") }, {} }, "g", std::move(hooks));
    }

    void runFor(Duration span)
    {
        for (Duration done; done < span; done = done + Duration::milliseconds(100)) {
            this->clock.advance(Duration::milliseconds(100));
            this->groups.onTick();
        }
    }

    TemporaryFolder folder;
    FakeClock clock;
    SeededRandom random { 1 };
    RecordingEventSink events;
    GroupId group { "g" };
    GroupHost groups;
};

} // namespace

TEST_CASE("a group whose storage could not be read at start is served once it can be, without a restart")
{
    OneGroup host;
    std::string const journal = host.folder.path() + "/g/journal";
    std::filesystem::create_symlink("/nowhere/at/all", journal); // Cannot be opened.
    host.groups.start(false);
    CHECK(host.groups.find(host.group) == nullptr);
    CHECK(host.groups.groupsWithoutStorage() == 1);
    host.runFor(Duration::seconds(6));
    CHECK(host.groups.find(host.group) == nullptr);
    CHECK(host.events.count(EventId::StorageFault) == 2);
    std::filesystem::remove(journal);
    host.runFor(Duration::seconds(2));
    CHECK(host.groups.find(host.group) != nullptr);
    CHECK(host.groups.groupsWithoutStorage() == 0);
}

TEST_CASE("a group whose storage is damaged is not started again")
{
    OneGroup host;
    std::ofstream(host.folder.path() + "/g/snapshot") << "no snapshot";
    host.groups.start(false);
    host.runFor(Duration::seconds(30));
    CHECK(host.groups.groupsWithoutStorage() == 1);
    CHECK(host.events.count(EventId::StorageFault) == 1);
}

TEST_CASE("a host whose data folder cannot be listed at start goes on and serves the group once it can be")
{
    OneGroup host;
    std::string const folder = host.folder.path() + "/g";
    std::filesystem::rename(folder, folder + ".away");
    host.groups.start(false);
    CHECK(host.groups.groupsWithoutStorage() == 1);
    std::filesystem::rename(folder + ".away", folder);
    host.runFor(Duration::seconds(2));
    CHECK(host.groups.groupsWithoutStorage() == 0);
}
