#include "cornelpond/core/base/Event.h"
#include "cornelpond/core/base/ResultCode.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <set>

using namespace cornelpond;

namespace {

std::string readPage(std::string const& name)
{
    std::ifstream in(std::string(DOCS_FOLDER) + "/" + name);
    REQUIRE(in);
    return { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
}

size_t countRows(std::string const& page)
{
    size_t rows = 0;
    for (size_t at = page.find("\n| "); at != std::string::npos; at = page.find("\n| ", at + 1))
        rows += std::isdigit(static_cast<unsigned char>(page[at + 3])) ? 1 : 0;
    return rows;
}

} // namespace

TEST_CASE("docs/CODES.md lists exactly the result codes")
{
    std::string const page = readPage("CODES.md");
    for (auto const& info : resultCodeTable()) {
        std::string const row = "| " + std::to_string(static_cast<int>(info.code)) + " | " + std::string(info.name) + " | " + std::to_string(info.httpStatus) + " | " + std::string(info.meaning) + " |";
        CAPTURE(row);
        CHECK(page.find(row) != std::string::npos);
    }
    CHECK(countRows(page.substr(0, page.find("## Exit codes"))) == resultCodeTable().size());
}

TEST_CASE("docs/EVENTS.md lists exactly the events")
{
    std::string const page = readPage("EVENTS.md");
    for (auto const& info : eventTable()) {
        std::string const row = "| " + std::to_string(static_cast<int>(info.id)) + " | " + std::string(info.name) + " | " + std::string(info.meaning) + " |";
        CAPTURE(row);
        CHECK(page.find(row) != std::string::npos);
    }
    CHECK(countRows(page) == eventTable().size());
}

TEST_CASE("numbers and names are unique")
{
    std::set<int> numbers;
    std::set<std::string_view> names;
    for (auto const& info : resultCodeTable()) {
        CHECK(numbers.insert(static_cast<int>(info.code)).second);
        CHECK(names.insert(info.name).second);
        CHECK(resultCodeInfo(info.code).name == info.name);
    }
    numbers.clear();
    for (auto const& info : eventTable()) {
        CHECK(numbers.insert(static_cast<int>(info.id)).second);
        CHECK(eventInfo(info.id).name == info.name);
    }
}
