#include "cornelpond/adapters/file/DurableFile.h"

#include "cornelpond/core/base/ResultCode.h"
#include "testing/fakes/TemporaryFolder.h"

#include <catch2/catch.hpp>

#include <fstream>

using namespace cornelpond;

TEST_CASE("a file holds the last content completely")
{
    TemporaryFolder folder;
    DurableFile const file(folder.path() + "/deep/er/file");
    CHECK(file.read().empty());
    file.replace("one");
    CHECK(file.read() == "one");
    file.replace(std::string("\0two", 4));
    CHECK(file.read() == std::string("\0two", 4));
}

TEST_CASE("damage is reported and the content not returned")
{
    TemporaryFolder folder;
    std::string const path = folder.path() + "/file";
    DurableFile const file(path);
    file.replace("content");
    std::ofstream(path, std::ios::binary | std::ios::in).seekp(6).put('X');
    try {
        file.read();
        FAIL("read");
    } catch (Error const& error) {
        CHECK(error.code() == ResultCode::StorageDamaged);
    }
}
