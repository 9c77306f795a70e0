#pragma once

// Everything that one group of hosts keeps and decides about jobs: the configuration of queues, the workers,
// the jobs, and the scheduler over them, as parts of one replicated log.
//
// Example:
//   JobService service(clock, events, orders, DispatchTimes(), JobLimits());
//   service.attach(network.openGroup(group, "jobs", service.hooks()));
//   service.submit("plans.example", "/season/", job, done);
//   service.onTick(); // every 10 to 20 ms
//
// Loop thread only.

#include "cornelpond/core/agreement/StateMachineSet.h"
#include "cornelpond/core/scheduling/JobScheduler.h"

namespace cornelpond {

/// Where a call addressed to a queue stands.
enum class QueueLookup {
    Found,
    NotFound, ///< No queue at that place.
    NoConfiguration,
    NotLeader, ///< This host cannot be sure that it knows the newest configuration.
};

class JobService {
public:
    JobService(Clock const& clock, EventSink& events, WorkerOrders& orders, DispatchTimes times, JobLimits limits);

    /// For the log that carries this object's commands.
    StateMachineHooks hooks() { return this->stateMachines.hooks(); }
    void attach(CommandLog& log);

    /// The queue at the place, when this host is sure of the newest configuration.
    QueueLookup findQueue(std::string_view host, std::string_view path, QueueSpec& queue) const;

    JobScheduler& scheduler() { return this->jobScheduler; }
    JobScheduler const& scheduler() const { return this->jobScheduler; }

    /// Done when a version at least as high is committed. Throws Error(SchemaViolation) for one that cannot
    /// come into force.
    void replaceQueues(QueueConfig const& config, JobScheduler::Done done);

    /// The newest configuration, or null where this host cannot be sure or there is none.
    QueueConfig const* readQueues() const;

    bool isLeader() const { return this->carrierLog && this->carrierLog->isLeader(); }

    void onTick() { this->jobScheduler.onTick(); }

private:
    StateMachineHooks queueHooks();
    StateMachineHooks workerHooks();
    StateMachineHooks jobHooks();

    EventSink& events;
    CommandLog* carrierLog = nullptr;
    StateMachineSet stateMachines;
    QueueTable queues;
    CommandLog& queueLog;
    CommandLog& workerLog;
    CommandLog& jobLog;
    JobScheduler jobScheduler;
};

} // namespace cornelpond
