#pragma once

// What the cases share: their main function, job bodies and polling.

#include "review/standin/Executor.h"
#include "review/standin/Fleet.h"
#include "review/standin/Record.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// One stage of tasks. `fields` are further fields of the stage, `furtherSpec` tells the stand-in executors more of how the
/// tasks behave.
std::string jobBody(int tasks, int64_t milliCores, int64_t workMs, std::string const& fields = "", std::string const& furtherSpec = "");

/// A job id of 16 hexadecimal digits.
std::string jobId(uint64_t number);

/// Polls until `condition` holds; false after the timeout.
bool waitFor(Milliseconds timeout, std::function<bool()> const& condition);

/// Executors "i-1", "i-2", … on one loopback address; not booted.
std::vector<std::unique_ptr<Executor>> makeExecutors(Fleet const& fleet, Record& record, size_t count, int64_t milliCores = 16000);

/// The times at which two runs of one task were at work at once, as text; empty if there are none. `slackMs`: shorter
/// overlaps do not count.
std::vector<std::string> overlaps(std::vector<Run> const& runs, int64_t nowMs, int64_t slackMs);

using CaseBody = std::function<bool(Fleet&, Record&, bool isDisrupted)>;

/// Runs a case: `program` and the record's path come from the command line, TROUBLE=0 leaves out the disruption. Returns 1
/// if `body` says that the rule was broken, 0 if it held, 2 if the case could not run.
int runCase(int argc, char** argv, CaseBody const& body);

} // namespace review
