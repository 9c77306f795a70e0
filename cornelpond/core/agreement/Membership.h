#pragma once

// Who takes part in a group's replicated log, and in which role.
//
// Example:
//   Membership const members { { HostId("a"), HostId("b"), HostId("c") }, {}, { HostId("a") } };
//   members.quorum(); // 2
//   members.canLead(HostId("b")); // false: a witness

#include "cornelpond/core/base/Ids.h"

#include <string>
#include <string_view>
#include <vector>

namespace cornelpond {

struct Membership {
    std::vector<HostId> voters;
    std::vector<HostId> learners; ///< Receive the log without a vote.
    std::vector<HostId> eligibleLeaders; ///< Empty: every voter. A voter not named here is a witness.

    bool isVoter(HostId const& host) const;
    bool isLearner(HostId const& host) const;
    bool canLead(HostId const& host) const;

    /// The number of voters that commit an entry or elect a leader.
    size_t quorum() const { return this->voters.size() / 2 + 1; }

    bool operator==(Membership const& other) const;
    bool operator!=(Membership const& other) const { return !(*this == other); }
};

/// True when `next` differs from `current` in the role of at most one host, so that every majority of
/// one shares a voter with every majority of the other.
bool isSingleStep(Membership const& current, Membership const& next);

std::string encodeMembership(Membership const& membership);

/// Throws Error(MalformedMessage).
Membership decodeMembership(std::string_view bytes);

} // namespace cornelpond
