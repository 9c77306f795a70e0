#pragma once

// Divides the file descriptors of a fleet host's process among the parts that open them, so that none can use up what
// another needs: without descriptors the journal cannot be written and no worker's lease be renewed.
//
// Example:
//   DescriptorBudget const budget = divideDescriptors(settings.limits.maxDescriptors);
//   HttpClientLimits limits;
//   limits.maxConnections = budget.outgoing;

#include <cstddef>

namespace cornelpond {

/// Each a number of file descriptors.
struct DescriptorBudget {
    size_t files = 0; ///< Journal, snapshots, settings, log, listeners and the event loop.
    size_t peers = 0; ///< Connections to other hosts of the fleet.
    size_t incoming = 0; ///< Connections from callers or workers, and from operators.
    size_t outgoing = 0; ///< Connections to workers and the permit service.
};

/// The shares sum to `total` at most. Files come first, then peers; the rest goes to incoming and outgoing connections.
DescriptorBudget divideDescriptors(size_t total);

} // namespace cornelpond
