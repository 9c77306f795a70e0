#pragma once

// The typed view of the configuration document: what the modules read.
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

/// How one service's requests are treated.
struct ServicePolicy {
    Duration timeout = Duration::seconds(10); ///< Deadline of a request that names none.
    bool hedging = false;
    int64_t replicas = 0; ///< Latency-critical replicas kept running in each data centre; 0 for none.
    TaskSpec replica; ///< What each replica is; its id is set for each. Valid when replicas > 0.
};

/// What one association may use and how it weighs.
struct AssociationPolicy {
    int64_t weight = 1; ///< Share relative to the others.
    Resources quota; ///< Limit on running tasks' declared needs; all 0 means none.
};

/// Work that matches gets the priority; the first matching rule wins.
struct PriorityRule {
    Selector work;
    int64_t priority = 0; ///< Higher goes first.
};

/// What an eviction and a late answer weigh against batch throughput.
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

    /// The priority of work with these labels; 0 when no rule matches.
    int64_t priorityOf(Labels const& labels) const;
};

/// One fault of a document.
struct DocumentFault {
    std::string pointer; ///< JSON pointer.
    std::string message;
};

/// All faults that the JSON schema cannot express. Empty when the document may be used.
std::vector<DocumentFault> crossCheckPolicy(nlohmann::json const& document);

/// Precondition: the document passed the schema and crossCheckPolicy.
Policy policyFromJson(nlohmann::json const& document);

/// The JSON schema of the document.
std::string_view policySchema();

} // namespace cornelpond
