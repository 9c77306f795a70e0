#pragma once

// The JSON form of tasks, as submitters send it, operators read it, and logs and snapshots store it.

#include "cornelpond/core/tasks/Task.h"

#include <nlohmann/json_fwd.hpp>

namespace cornelpond {

nlohmann::json toJson(Resources const& resources);
nlohmann::json toJson(TaskSpec const& spec);
nlohmann::json toJson(Task const& task);

/// Reads {"milliCores":, "memoryMiB":, "accelerators":}; absent amounts are 0. `pointer` is the value's
/// place in the document, for error messages. Throws Error(SchemaViolation).
Resources resourcesFromJson(nlohmann::json const& value, std::string const& pointer);

/// Throws Error(SchemaViolation) or Error(BadSelector) that names the JSON pointer of the first fault.
TaskSpec taskSpecFromJson(nlohmann::json const& value);

/// Inverse of toJson(Task). Throws Error(StorageDamaged), and what taskSpecFromJson throws for its
/// specification.
Task taskFromJson(nlohmann::json const& value);

/// Reads label keys and values from a JSON object of strings. Throws Error(SchemaViolation).
Labels labelsFromJson(nlohmann::json const& value, std::string const& pointer);

} // namespace cornelpond
