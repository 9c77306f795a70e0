#pragma once

// What was sent, answered and run, one line each with the milliseconds since the record began.
//
// Example:
//   Record record("record.txt");
//   record.add("client", "POST 200");

#include <fstream>
#include <mutex>
#include <string>

namespace review {

class Record {
public:
    explicit Record(std::string const& path);
    void add(std::string const& who, std::string const& what);

private:
    std::mutex mutex;
    std::ofstream file;
    int64_t startedMs;
};

} // namespace review
