#include "cornelpond/core/config/Policy.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace cornelpond;

TEST_CASE("a policy is read, with defaults for what is left out")
{
    nlohmann::json const document = nlohmann::json::parse(R"({
        "services": { "plan": { "timeoutMs": 250, "hedging": true } },
        "associations": { "sluices": { "weight": 3, "quota": { "milliCores": 8000 } } },
        "priorities": [ { "work": "kind = audit", "priority": 5 }, { "work": "kind", "priority": 1 } ],
        "weights": { "evictions": 4 }
    })");
    REQUIRE(crossCheckPolicy(document).empty());
    Policy const policy = policyFromJson(document);
    CHECK(policy.service(ServiceId("plan")).timeout == Duration::milliseconds(250));
    CHECK(policy.service(ServiceId("other")).timeout == Duration::seconds(10));
    CHECK(policy.association(AssociationId("sluices")).quota.milliCores == 8000);
    CHECK(policy.association(AssociationId("none")).weight == 1);
    CHECK(policy.priorityOf({ { "kind", "audit" } }) == 5);
    CHECK(policy.priorityOf({ { "kind", "plan" } }) == 1);
    CHECK(policy.priorityOf({}) == 0);
    CHECK(policy.weights.evictions == 4);
}

TEST_CASE("each invalid selector and name is a fault with its JSON pointer")
{
    nlohmann::json const document = nlohmann::json::parse(R"({
        "services": { "a b": {} },
        "priorities": [ { "work": "kind =", "priority": 1 }, { "work": "(", "priority": 1 } ]
    })");
    std::vector<DocumentFault> const faults = crossCheckPolicy(document);
    REQUIRE(faults.size() == 3);
    CHECK(faults[0].pointer == "/services/a b");
    CHECK(faults[1].pointer == "/priorities/0/work");
    CHECK(faults[2].pointer == "/priorities/1/work");
}

TEST_CASE("a service that keeps replicas must have a valid specification of them")
{
    nlohmann::json document = nlohmann::json::parse(R"({
        "services": { "plan": { "replicas": 3, "replica": { "association": "sluices", "resources": { "milliCores": 500 }, "command": "serve" } } }
    })");
    REQUIRE(crossCheckPolicy(document).empty());
    TaskSpec const& replica = policyFromJson(document).service(ServiceId("plan")).replica;
    CHECK(replica.taskClass == TaskClass::LatencyCritical);
    CHECK(replica.labels.at("service") == "plan");
    document["services"]["plan"]["replica"]["workers"] = "disk =";
    REQUIRE(crossCheckPolicy(document).size() == 1);
    document["services"]["plan"].erase("replica");
    REQUIRE(crossCheckPolicy(document).size() == 1);
    CHECK(crossCheckPolicy(document)[0].pointer == "/services/plan/replica");
}
