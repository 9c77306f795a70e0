#include "cornelpond/app/DescriptorBudget.h"

#include <algorithm>

namespace cornelpond {

DescriptorBudget divideDescriptors(size_t total)
{
    constexpr size_t maxFiles = 64; ///< A handful of journal segments and listeners, several times over.
    constexpr size_t maxShareDivisor = 4; ///< Of a small total, files get no more than peers: a quarter.
    constexpr size_t incomingPercent = 40; ///< Workers keep one connection for announcements, the host several for orders.
    DescriptorBudget budget;
    budget.files = std::min(maxFiles, total / maxShareDivisor);
    budget.peers = total / maxShareDivisor;
    size_t const rest = total - budget.files - budget.peers;
    budget.incoming = rest * incomingPercent / 100;
    budget.outgoing = rest - budget.incoming;
    return budget;
}

} // namespace cornelpond
