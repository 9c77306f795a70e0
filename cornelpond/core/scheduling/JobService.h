#pragma once

// The replicated job state of one group of hosts: the configuration of queues, the workers, the
// evacuations of data centres and the jobs as parts of one replicated log, with the scheduler that works on them.
//
// Example:
//   JobService service(clock, events, orders, DispatchTimes(), JobLimits());
//   service.attach(network.openGroup(group, "jobs", service.hooks()));
//   QueueSpec queue;
//   if (service.findQueue("plans.example", "/season/", queue) == QueueLookup::Found)
//       service.scheduler().submit(job, queue, done);
//   service.onTick(); // every 10 to 20 ms
//
// Loop thread only.

#include "cornelpond/core/agreement/StateMachineSet.h"
#include "cornelpond/core/evacuation/RepeatedEvacuationCalls.h"
#include "cornelpond/core/scheduling/JobScheduler.h"

#include <map>
#include <set>

namespace cornelpond {

/// Outcome of looking up a queue.
enum class QueueLookup {
    Found,
    NotFound, ///< No queue is configured for that host and path.
    NoConfiguration, ///< No configuration has been committed yet.
    NotLeader, ///< This host is not the confirmed leader and may not have the newest configuration.
};

class JobService {
public:
    JobService(Clock const& clock, EventSink& events, WorkerOrders& orders, DispatchTimes times, JobLimits limits);

    /// Hooks for the log that carries this object's commands.
    StateMachineHooks hooks() { return this->stateMachines.hooks(); }
    void attach(CommandLog& carrier);

    /// Copies the queue for the host and path to `queue` when Found. Answers only on the confirmed leader, whose
    /// configuration is the newest.
    QueueLookup findQueue(std::string_view host, std::string_view path, QueueSpec& queue) const;

    JobScheduler& scheduler() { return this->jobScheduler; }
    JobScheduler const& scheduler() const { return this->jobScheduler; }

    /// Done once a version at least as high is committed. Throws Error(SchemaViolation) for an invalid
    /// configuration.
    void replaceQueues(QueueConfig const& config, JobScheduler::Done done);

    /// Starts or finishes the evacuation of a data centre; done once it is committed, also if it was before. Refused, with the time
    /// after which to send it again, while the call may be a late copy of one that a later call has reversed.
    void changeEvacuation(EvacuationChange change, DataCentreId const& dataCentre, std::function<void(CallResult, Duration retryAfter)> done);

    EvacuationTable const& evacuations() const { return this->evacuationTable; }
    /// The data centres that workers have announced to the group since this host was started, or are evacuated.
    std::set<DataCentreId> dataCentres() const;

    /// The newest configuration; null when this host is not the confirmed leader or there is none.
    QueueConfig const* readQueues() const;

    bool isLeader() const { return this->carrierLog && this->carrierLog->isLeader(); }

    /// See JobScheduler::setWorkCallback.
    void setWorkCallback(std::function<void()> callback) { this->jobScheduler.setWorkCallback(std::move(callback)); }
    void onWork() { this->jobScheduler.onWork(); }
    void onTick() { this->jobScheduler.onTick(); }

private:
    StateMachineHooks queueHooks();
    StateMachineHooks workerHooks();
    StateMachineHooks jobHooks();
    StateMachineHooks evacuationHooks();
    void applyEvacuation(EvacuationCommand const& command);
    void noteDataCentres();

    Clock const& clock;
    EventSink& events;
    CommandLog* carrierLog = nullptr;
    StateMachineSet stateMachines;
    QueueTable queues;
    EvacuationTable evacuationTable;
    RepeatedEvacuationCalls repeatedCalls;
    std::map<DataCentreId, std::pair<EvacuationChange, uint64_t>> proposedEvacuations; ///< The latest call of each data centre that awaits its commit, with its number.
    uint64_t lastEvacuationCall = 0;
    std::set<DataCentreId> announcedDataCentres;
    CommandLog& queueLog;
    CommandLog& workerLog;
    CommandLog& jobLog;
    CommandLog& evacuationLog;
    JobScheduler jobScheduler;
};

} // namespace cornelpond
