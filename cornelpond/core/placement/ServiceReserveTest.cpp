#include "cornelpond/core/placement/ServiceReserve.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr int64_t workerMilliCores = 16000;
constexpr int64_t serviceMilliCores = 3000;

/// Twenty workers of 16 cores and service tasks of 3 cores.
class Fleet {
public:
    explicit Fleet(size_t workerCount = 20)
        : reserve(this->workers, this->times, { 0.1, 0.05 })
    {
        this->stage.isService = true;
        this->stage.need.milliCores = serviceMilliCores;
        for (size_t i = 0; i < workerCount; i++) {
            WorkerProfile profile;
            profile.id = WorkerId("w" + std::to_string(i));
            profile.service = ServiceId("fleet");
            profile.capacity = { workerMilliCores, 64000, 0 };
            WorkerView& worker = this->workers.emplace(profile.id, WorkerView(profile, TimePoint())).first->second;
            worker.hasListing = true;
            worker.hasClock = true;
        }
    }

    /// Places service tasks on the first workers, so that the given numbers run there.
    void place(std::vector<unsigned> const& counts)
    {
        for (size_t i = 0; i < counts.size(); i++) {
            for (unsigned task = 0; task < counts[i]; task++) {
                PlacedAttempt attempt;
                attempt.task = { JobId("watch"), 0, 0, this->placed++ };
                attempt.number = AttemptNumber(1);
                attempt.stage = &this->stage;
                this->worker(i).place(attempt);
            }
        }
        this->reserve.beginPass(TimePoint());
    }

    WorkerView& worker(size_t index) { return this->workers.at(WorkerId("w" + std::to_string(index))); }

    bool allows(size_t worker, bool isRestart, bool canUseReserve = false)
    {
        PlacementRequest request;
        request.stage = &this->stage;
        request.service = ServiceId("fleet");
        request.isRestart = isRestart;
        request.canUseReserve = canUseReserve;
        return this->reserve.leavesEnough(this->worker(worker), request);
    }

    std::map<WorkerId, WorkerView> workers;
    DispatchTimes times;
    StageSpec stage;
    ServiceReserve reserve;
    uint32_t placed = 0;
};

} // namespace

TEST_CASE("service tasks that never ran leave more workers empty than those that start again")
{
    Fleet fleet;
    fleet.place(std::vector<unsigned>(18, 5));
    CHECK_FALSE(fleet.allows(18, false));
    CHECK(fleet.allows(18, true));
    fleet.place({ 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1 });
    CHECK_FALSE(fleet.allows(19, true));
}

TEST_CASE("gaps count as room once short tasks fit there")
{
    Fleet fleet;
    fleet.place(std::vector<unsigned>(20, 4)); // Gaps of 4 cores.
    CHECK_FALSE(fleet.allows(0, false));
    fleet.reserve.setShortTaskNeed(ServiceId("fleet"), 4000);
    fleet.place({});
    CHECK(fleet.allows(0, false));
}

TEST_CASE("below the reserve, only service tasks that start again take gaps too small for short tasks")
{
    Fleet fleet;
    fleet.reserve.setShortTaskNeed(ServiceId("fleet"), 5000);
    fleet.place(std::vector<unsigned>(20, 4)); // Gaps of 4 cores.
    CHECK_FALSE(fleet.allows(0, false));
    CHECK(fleet.allows(0, true));
}

TEST_CASE("a service task that starts again takes the reserve when it has waited long or short tasks left it idle")
{
    Fleet fleet;
    fleet.place(std::vector<unsigned>(19, 5));
    CHECK_FALSE(fleet.allows(19, true));
    CHECK(fleet.allows(19, true, true));
    fleet.worker(19).startIdleWindow();
    CHECK_FALSE(fleet.allows(19, true));
    fleet.worker(19).startIdleWindow();
    CHECK(fleet.allows(19, true));
    CHECK_FALSE(fleet.allows(19, false, true));
}

TEST_CASE("a fleet of a few workers keeps no reserve")
{
    Fleet fleet(4);
    fleet.place(std::vector<unsigned>(4, 4));
    CHECK(fleet.allows(0, false));
}
