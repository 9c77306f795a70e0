#pragma once

// What a case has seen: lines with the time since its start, written to record.txt, and all runs of tasks.
//
// Example:
//   Record record("record.txt");
//   record.line("POST /plans/... -> 200");

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// One run of a task on an executor.
struct Run {
    std::string task;
    uint64_t number = 0;
    std::string executor;
    int64_t bornMs = 0;
    std::string label; ///< The executor's kind.
    std::string spec;
    int64_t startedMs = 0;
    int64_t endedMs = -1; ///< -1: still running.
    std::string how;
};

class Record {
public:
    explicit Record(std::string const& path);

    /// Since the start of the case.
    int64_t nowMs() const;
    void line(std::string const& text);

    size_t addRun(Run run);
    void endRun(size_t index, std::string const& how);
    std::vector<Run> runs() const;
    /// Those of tasks whose name begins with the id.
    std::vector<Run> runsOf(std::string const& job) const;

private:
    std::chrono::steady_clock::time_point const started = std::chrono::steady_clock::now();
    mutable std::mutex mutex;
    std::ofstream file;
    std::vector<Run> allRuns;
};

} // namespace review
