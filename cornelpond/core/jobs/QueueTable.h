#pragma once

// The configuration of queues and services. The highest version that was accepted is in force; a version
// that is not higher than the one held changes nothing.
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

/// A policy service that says which workers may run a stage, and how long it takes to answer.
struct PermitSpec {
    bool isRequired = false;
    Duration decisionTime; ///< Of one call,
    Duration decisionTimePerWorker; ///< and this much more for each worker named.
    Duration validity; ///< Of one permit.
};

struct QueueSpec {
    QueueId name;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix;
    ServiceId service; ///< Whose workers run the queue's tasks.
    uint32_t priority = 0; ///< 0 comes first.
    uint32_t maxAttempts = 1; ///< Failed attempts after which a task is given up.
    double stretchFactor = 1; ///< The objective is so many times the job's longest chain,
    Duration latencyTarget; ///< and this much more.
    PermitSpec permits;
};

struct ServiceSpec {
    ServiceId name;
    bool enforcesCapacity = true; ///< Its workers refuse what does not fit.
    bool isStandby = false; ///< Its machines are off.
};

struct QueueConfig {
    ConfigVersion version;
    std::vector<QueueSpec> queues;
    std::vector<ServiceSpec> services;
    std::string document; ///< As the operator sent it, to be read back.
};

/// Throws Error(SchemaViolation): a queue of an unknown service, two queues at one place.
void checkQueueConfig(QueueConfig const& config);

std::string encodeQueueConfig(QueueConfig const& config);

/// Throws Error(MalformedMessage).
QueueConfig decodeQueueConfig(std::string_view bytes);

class QueueTable {
public:
    /// False when the version is not higher than the one in force.
    bool replace(QueueConfig config);

    /// Replaces the state by one taken with takeSnapshot.
    void restore(std::string const& snapshot);
    std::string takeSnapshot() const { return encodeQueueConfig(this->current); }

    /// False before the first configuration.
    bool hasConfig() const { return this->current.version > ConfigVersion(); }
    QueueConfig const& config() const { return this->current; }

    /// The queue of the host with the longest prefix of `path`, or null.
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
