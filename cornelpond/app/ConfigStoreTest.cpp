#include "cornelpond/app/ConfigStore.h"

#include "testing/fakes/FakeClock.h"
#include "testing/fakes/RecordingEventSink.h"
#include "testing/fakes/TemporaryFolder.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

using namespace cornelpond;

namespace {

/// A store whose folder can be made unusable: a file stands in its place.
struct StoreOnDisk {
    StoreOnDisk() { this->fail(); }

    void fail() const { std::ofstream(this->path) << "no folder"; }
    void mend() const { std::filesystem::remove(this->path); }

    void runFor(Duration span)
    {
        for (Duration done; done < span; done = done + Duration::milliseconds(20)) {
            this->clock.advance(Duration::milliseconds(20));
            this->store.onTick();
        }
    }

    TemporaryFolder folder;
    std::string path = folder.path() + "/data";
    FakeClock clock;
    RecordingEventSink events;
    ConfigStore store { clock, events, path + "/config-in-force" };
};

} // namespace

TEST_CASE("a configuration that could not be stored is stored once the disk takes it, though no other version comes")
{
    StoreOnDisk host;
    host.store.store("version 1");
    CHECK(host.events.count(EventId::ConfigurationStoreFailed) == 1);
    host.runFor(Duration::seconds(6));
    CHECK(host.events.count(EventId::ConfigurationStoreFailed) == 2);
    host.mend();
    host.runFor(Duration::seconds(2));
    CHECK(host.store.read() == "version 1");
    CHECK(host.events.count(EventId::ConfigurationStored) == 1);
}

TEST_CASE("of two configurations that could not be stored the later one is")
{
    StoreOnDisk host;
    host.store.store("version 1");
    host.store.store("version 2");
    host.mend();
    host.runFor(Duration::seconds(2));
    CHECK(host.store.read() == "version 2");
    host.runFor(Duration::seconds(2));
    CHECK(host.events.count(EventId::ConfigurationStored) == 1);
}

TEST_CASE("a configuration that is stored at once needs no line")
{
    StoreOnDisk host;
    host.mend();
    host.store.store("version 1");
    host.runFor(Duration::seconds(2));
    CHECK(host.store.read() == "version 1");
    CHECK(host.events.all().empty());
}
