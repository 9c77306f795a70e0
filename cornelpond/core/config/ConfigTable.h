#pragma once

// The replicated configuration: a history of versions, changed by compare-and-set on the version number.
//
// Example:
//   ConfigChange change { ConfigVersion(7), "op-42", "ana", nowMs, document };
//   ConfigResult const result = table.apply(change);
//   if (result.code == ResultCode::VersionConflict)
//       show(result.version); // the version in force
//
// Deterministic; loop thread only.

#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/ResultCode.h"

#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace cornelpond {

/// One proposed change. The document must have been checked before.
struct ConfigChange {
    ConfigVersion expectedVersion; ///< The version that the change is based on.
    std::string operationId; ///< Chosen by the operator; the same change sent again gets the first result.
    std::string author;
    int64_t changedAtMs = 0;
    std::string document; ///< JSON text.
};

/// One accepted version.
struct ConfigRecord {
    ConfigVersion version;
    std::string operationId;
    std::string author;
    int64_t changedAtMs = 0;
    std::string document; ///< JSON text.
};

struct ConfigResult {
    ResultCode code = ResultCode::Ok;
    ConfigVersion version; ///< Ok: made by this change. VersionConflict: in force. IdConflict: made by the same operation id.
};

std::string encodeConfigChange(ConfigChange const& change);

/// Throws Error(MalformedJson) or Error(StorageDamaged).
ConfigChange decodeConfigChange(std::string_view bytes);

std::string encodeConfigRecord(ConfigRecord const& record);

/// Throws Error(MalformedJson) or Error(StorageDamaged).
ConfigRecord decodeConfigRecord(std::string_view bytes);

class ConfigTable {
public:
    /// Called after each accepted change and after a restore, with the version in force.
    using OnChange = std::function<void(ConfigRecord const&)>;

    explicit ConfigTable(OnChange onChange);

    /// Exactly one of several changes with equal `expectedVersion` is accepted; the others get
    /// VersionConflict. While the kept history holds an operation id, the same id with the same document
    /// gets the first result, and with another document IdConflict.
    ConfigResult apply(ConfigChange const& change);

    /// The version in force; version 0 with document "{}" before the first change.
    ConfigRecord const& current() const { return this->history.back(); }

    /// Null when the version does not exist or is older than the kept history.
    ConfigRecord const* find(ConfigVersion version) const;

    std::deque<ConfigRecord> const& all() const { return this->history; }

    std::string takeSnapshot() const;
    /// Replaces the history by that of a snapshot. Throws Error(MalformedJson) or Error(StorageDamaged).
    void restore(std::string const& state);

private:
    ConfigRecord const* findOperation(std::string const& operationId) const;

    OnChange onChange;
    std::deque<ConfigRecord> history; ///< Never empty.
};

} // namespace cornelpond
