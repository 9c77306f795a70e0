#include "cornelpond/core/config/Policy.h"

#include "cornelpond/core/base/ResultCode.h"
#include "cornelpond/core/tasks/TaskJson.h"

#include <nlohmann/json.hpp>

namespace cornelpond {

namespace {

    constexpr std::string_view schemaText = R"json({
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "services": {
      "type": "object",
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "properties": {
          "timeoutMs": { "type": "integer", "minimum": 1, "maximum": 3600000 },
          "hedging": { "type": "boolean" },
          "replicas": { "type": "integer", "minimum": 0, "maximum": 100000 },
          "replica": {
            "type": "object",
            "additionalProperties": false,
            "required": ["association", "resources", "command"],
            "properties": {
              "association": { "type": "string" },
              "resources": { "type": "object" },
              "labels": { "type": "object", "additionalProperties": { "type": "string" } },
              "workers": { "type": "string" },
              "command": { "type": "string" }
            }
          }
        }
      }
    },
    "associations": {
      "type": "object",
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "properties": {
          "weight": { "type": "integer", "minimum": 1, "maximum": 1000 },
          "quota": {
            "type": "object",
            "additionalProperties": false,
            "properties": {
              "milliCores": { "type": "integer", "minimum": 0, "maximum": 1099511627776 },
              "memoryMiB": { "type": "integer", "minimum": 0, "maximum": 1099511627776 },
              "accelerators": { "type": "integer", "minimum": 0, "maximum": 1099511627776 }
            }
          }
        }
      }
    },
    "priorities": {
      "type": "array",
      "maxItems": 1000,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["work", "priority"],
        "properties": {
          "work": { "type": "string" },
          "priority": { "type": "integer", "minimum": -1000, "maximum": 1000 }
        }
      }
    },
    "weights": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "batchThroughput": { "type": "integer", "minimum": 0, "maximum": 100 },
        "evictions": { "type": "integer", "minimum": 0, "maximum": 100 },
        "tailLatency": { "type": "integer", "minimum": 0, "maximum": 100 },
        "floodSurvival": { "type": "integer", "minimum": 0, "maximum": 100 }
      }
    }
  }
})json";

    template <typename Id, typename Value>
    Value const& findOrDefault(std::map<Id, Value> const& values, Id const& id)
    {
        static Value const fallback;
        auto const found = values.find(id);
        return found == values.end() ? fallback : found->second;
    }

    /// The largest allowed value: a failing replica is retried with growing delays, and only after this many
    /// failures replaced by a new task.
    constexpr uint32_t replicaMaxFailures = 1000;

    TaskSpec replicaFromJson(std::string const& service, nlohmann::json value)
    {
        value["id"] = service;
        value["class"] = std::string(taskClassName(TaskClass::LatencyCritical));
        value["maxFailures"] = replicaMaxFailures;
        value["labels"]["service"] = service;
        return taskSpecFromJson(value);
    }

    void checkReplicas(nlohmann::json const& services, std::vector<DocumentFault>& faults)
    {
        for (auto const& item : services.items()) {
            std::string const pointer = "/services/" + item.key() + "/replica";
            bool const hasReplicaSpec = item.value().contains("replica");
            if (!hasReplicaSpec && item.value().value("replicas", int64_t(0)) > 0)
                faults.push_back({ pointer, "replicas are requested but not specified" });
            if (!hasReplicaSpec || !isLabelWord(item.key()))
                continue;
            try {
                replicaFromJson(item.key(), item.value()["replica"]);
            } catch (Error const& error) {
                faults.push_back({ pointer, error.what() });
            }
        }
    }

    ServicePolicy serviceFromJson(std::string const& name, nlohmann::json const& value)
    {
        ServicePolicy policy;
        policy.timeout = Duration::milliseconds(value.value("timeoutMs", policy.timeout.toMilliseconds()));
        policy.hedging = value.value("hedging", policy.hedging);
        policy.replicas = value.value("replicas", policy.replicas);
        if (value.contains("replica"))
            policy.replica = replicaFromJson(name, value["replica"]);
        return policy;
    }

    AssociationPolicy associationFromJson(nlohmann::json const& value)
    {
        AssociationPolicy policy;
        policy.weight = value.value("weight", policy.weight);
        if (value.contains("quota"))
            policy.quota = resourcesFromJson(value["quota"], "/quota");
        return policy;
    }

    void checkNames(nlohmann::json const& document, std::string const& section, std::vector<DocumentFault>& faults)
    {
        if (!document.contains(section))
            return;
        for (auto const& item : document[section].items()) {
            if (!isLabelWord(item.key()))
                faults.push_back({ "/" + section + "/" + item.key(), "a name may only have letters, digits and ._-/" });
        }
    }

} // namespace

std::string_view policySchema()
{
    return schemaText;
}

ServicePolicy const& Policy::service(ServiceId const& id) const
{
    return findOrDefault(this->services, id);
}

AssociationPolicy const& Policy::association(AssociationId const& id) const
{
    return findOrDefault(this->associations, id);
}

int64_t Policy::priorityOf(Labels const& labels) const
{
    for (auto const& rule : this->priorities) {
        if (rule.work.matches(labels))
            return rule.priority;
    }
    return 0;
}

std::vector<DocumentFault> crossCheckPolicy(nlohmann::json const& document)
{
    std::vector<DocumentFault> faults;
    checkNames(document, "services", faults);
    checkNames(document, "associations", faults);
    checkReplicas(document.value("services", nlohmann::json::object()), faults);
    nlohmann::json const rules = document.value("priorities", nlohmann::json::array());
    for (size_t i = 0; i < rules.size(); i++) {
        try {
            Selector::parse(rules[i].at("work").get<std::string>());
        } catch (Error const& error) {
            faults.push_back({ "/priorities/" + std::to_string(i) + "/work", error.what() });
        }
    }
    return faults;
}

Policy policyFromJson(nlohmann::json const& document)
{
    Policy policy;
    nlohmann::json const services = document.value("services", nlohmann::json::object());
    for (auto const& item : services.items())
        policy.services[ServiceId(item.key())] = serviceFromJson(item.key(), item.value());
    nlohmann::json const associations = document.value("associations", nlohmann::json::object());
    for (auto const& item : associations.items())
        policy.associations[AssociationId(item.key())] = associationFromJson(item.value());
    for (auto const& rule : document.value("priorities", nlohmann::json::array()))
        policy.priorities.push_back({ Selector::parse(rule.at("work").get<std::string>()), rule.at("priority").get<int64_t>() });
    nlohmann::json const weights = document.value("weights", nlohmann::json::object());
    policy.weights.batchThroughput = weights.value("batchThroughput", policy.weights.batchThroughput);
    policy.weights.evictions = weights.value("evictions", policy.weights.evictions);
    policy.weights.tailLatency = weights.value("tailLatency", policy.weights.tailLatency);
    policy.weights.floodSurvival = weights.value("floodSurvival", policy.weights.floodSurvival);
    return policy;
}

} // namespace cornelpond
