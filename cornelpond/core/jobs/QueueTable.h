#pragma once

// The configuration of queues and services. The highest accepted version is in force; replacing it by a version that
// is not higher has no effect.
//
// Example:
//   QueueTable table;
//   table.replace(config);
//   if (QueueSpec const* queue = table.match("plans.example", "/season/5c0e"))
//       submitTo(queue->name);

#include "cornelpond/core/base/ByteCodec.h"
#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/jobs/JobSpec.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpond {

/// Whether starts need a permit from the policy service, which decides which workers may run a stage, and how long its
/// answers take.
struct PermitSpec {
    bool isRequired = false;
    Duration decisionTime; ///< For one call, without the workers named in it.
    Duration decisionTimePerWorker; ///< Added for each worker named in the call.
    Duration validity; ///< Of one permit.
};

struct QueueSpec {
    QueueId name;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix;
    ServiceId service; ///< Its workers run the queue's tasks.
    uint32_t priority = 0; ///< 0 is the highest.
    uint32_t maxAttempts = 1; ///< A job fails with this many failed attempts of a task or gang.
    double stretchFactor = 1; ///< A job's objective is this times the run time of its longest chain of stages, plus `latencyTarget`.
    Duration latencyTarget; ///< Added to the stretched run time.
    PermitSpec permits;
};

struct ServiceSpec {
    ServiceId name;
    bool enforcesCapacity = true; ///< Its workers refuse what does not fit.
    bool isStandby = false; ///< Its machines are switched off.
};

struct QueueConfig {
    ConfigVersion version;
    std::vector<QueueSpec> queues;
    std::vector<ServiceSpec> services;
    std::string document; ///< As the operator sent it, for reading it back.
};

/// Throws Error(SchemaViolation) for a queue of an unknown service, or two queues with the same name or with the same
/// host and path prefix.
void checkQueueConfig(QueueConfig const& config);

std::string encodeQueueConfig(QueueConfig const& config);

/// Throws Error(MalformedMessage).
QueueConfig decodeQueueConfig(std::string_view bytes);

class QueueTable {
public:
    /// False, without effect, when the version is not higher than the one in force.
    bool replace(QueueConfig config);

    /// Replaces the state by a snapshot of takeSnapshot. Throws Error(MalformedMessage).
    void restore(std::string const& snapshot);
    std::string takeSnapshot() const { return encodeQueueConfig(this->current); }

    /// False before the first configuration.
    bool hasConfig() const { return this->current.version > ConfigVersion(); }
    QueueConfig const& config() const { return this->current; }

    /// The queue of the host with the longest path prefix that matches `path`, or null.
    QueueSpec const* match(std::string_view host, std::string_view path) const;
    QueueSpec const* find(QueueId const& name) const;
    ServiceSpec const* findService(ServiceId const& name) const;

private:
    void rebuildIndex();

    QueueConfig current;
    std::map<QueueId, size_t> byName;
    std::multimap<std::string, size_t, std::less<>> byHost;
};

} // namespace cornelpond
