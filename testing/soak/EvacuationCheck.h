#pragma once

// Starts and finishes evacuations of data centres as an operator does, and checks that an acknowledged one is kept: from a bound
// after the acknowledgement until its finish is first sent, no start order reaches a worker there.
//
// Example:
//   EvacuationCheck check(loop, client, addresses.controlAddresses, random, report);
//   check.evacuate("dc1", Duration::seconds(8));
//   check.onStartOrder("dc1"); // for each start order that a worker gets

#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/ports/Random.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelpond {

class EvacuationCheck {
public:
    /// References must outlive the object. `report` takes each violation.
    EvacuationCheck(EventLoop& loop, HttpClient& client, std::vector<Address> controlAddresses, Random& random, std::function<void(std::string const&)> report);

    /// Starts an evacuation and finishes it `span` after its acknowledgement. Does nothing while one of the data centre is open.
    void evacuate(std::string const& dataCentre, Duration span);
    void onStartOrder(std::string const& dataCentre);

    /// True when every call has been acknowledged and no data centre is evacuated.
    bool isSettled() const { return this->evacuations.empty(); }
    size_t acknowledgedCount() const { return this->acknowledged; }

private:
    struct Evacuation {
        bool isFinishing = false;
        std::optional<TimePoint> acknowledgedAt;
        unsigned lateStarts = 0;
    };

    void send(std::string const& dataCentre, Duration span);
    void onAnswered(std::string const& dataCentre, Duration span, HttpOutcome const& outcome);

    EventLoop& loop;
    HttpClient& client;
    std::vector<Address> controlAddresses;
    Random& random;
    std::function<void(std::string const&)> report;
    std::map<std::string, Evacuation> evacuations; ///< By data centre.
    size_t acknowledged = 0;
};

} // namespace cornelpond
