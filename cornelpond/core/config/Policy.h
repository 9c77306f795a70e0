#pragma once

// The configuration document as typed values.
//
// Example:
//   Policy const policy = policyFromJson(parseJson(record.document, JsonLimits()));
//   Duration const timeout = policy.service(ServiceId("plan")).timeout;

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Resources.h"
#include "cornelpond/core/selector/Selector.h"
#include "cornelpond/core/tasks/Task.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace cornelpond {

/// How one service's requests are handled, and its replicas.
struct ServicePolicy {
    Duration timeout = Duration::seconds(10); ///< Deadline of a request that names none.
    bool hedging = false;
    int64_t replicas = 0; ///< Latency-critical replicas to keep in each data centre; 0 for none.
    TaskSpec replica; ///< Specification of each replica, apart from its id. Valid when replicas > 0.
};

/// The weight and the quota of one association.
struct AssociationPolicy {
    int64_t weight = 1; ///< Share of the workers relative to other associations.
    Resources quota; ///< Limit on the declared needs of tasks with a worker; 0 means no limit, for each resource.
};

/// Tasks with matching labels get the priority; the first matching rule applies.
struct PriorityRule {
    Selector work;
    int64_t priority = 0; ///< Higher is placed first.
};

/// Relative weights of the scheduling objectives. Only `evictions` is read so far: it scales the cost of a
/// preemption.
struct ObjectiveWeights {
    int64_t batchThroughput = 1;
    int64_t evictions = 1;
    int64_t tailLatency = 1;
    int64_t floodSurvival = 1;
};

struct Policy {
    std::map<ServiceId, ServicePolicy> services;
    std::map<AssociationId, AssociationPolicy> associations;
    std::vector<PriorityRule> priorities;
    ObjectiveWeights weights;

    /// The service's policy, or the default one.
    ServicePolicy const& service(ServiceId const& id) const;

    /// The association's policy, or the default one.
    AssociationPolicy const& association(AssociationId const& id) const;

    /// The priority of a task with these labels; 0 when no rule matches.
    int64_t priorityOf(Labels const& labels) const;
};

/// One fault in a document.
struct DocumentFault {
    std::string pointer; ///< JSON pointer to the faulty value.
    std::string message;
};

/// Returns all faults that the JSON schema cannot express. Empty when the document may be used.
std::vector<DocumentFault> crossCheckPolicy(nlohmann::json const& document);

/// Precondition: the document passed the schema and crossCheckPolicy.
Policy policyFromJson(nlohmann::json const& document);

/// The JSON schema of the document.
std::string_view policySchema();

} // namespace cornelpond
