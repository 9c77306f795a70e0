#pragma once

// Changes the replicated configuration by proposals to its group's log.
//
// Example:
//   ConfigService service(log, [](ConfigRecord const& record) { use(record); });
//   service.change(change, [](ConfigResult const& result) { answer(result); });
//
// Loop thread only.

#include "cornelpond/core/agreement/CommandLog.h"
#include "cornelpond/core/config/ConfigTable.h"

namespace cornelpond {

class ConfigService {
public:
    using Done = std::function<void(ConfigResult const&)>;

    /// `log` must outlive the service and drive it through apply, takeSnapshot and restore.
    ConfigService(CommandLog& log, ConfigTable::OnChange onChange)
        : log(log)
        , configTable(std::move(onChange))
    {
    }

    /// Calls `done` after the commit, or with the proposal's error and the version in force. The document
    /// must have been checked before.
    void change(ConfigChange const& change, Done done)
    {
        this->log.propose(encodeConfigChange(change), [this, done = std::move(done)](ProposalOutcome const& outcome) {
            if (outcome.code != ResultCode::Ok)
                done({ outcome.code, this->configTable.current().version });
            else
                done(this->lastResult);
        });
    }

    void applyCommand(std::string const& command) { this->lastResult = this->configTable.apply(decodeConfigChange(command)); }

    ConfigTable& table() { return this->configTable; }
    ConfigTable const& table() const { return this->configTable; }

private:
    CommandLog& log;
    ConfigTable configTable;
    ConfigResult lastResult; ///< Result of the change applied last.
};

} // namespace cornelpond
