#pragma once

// The members of a group's replicated log and their roles: voter, learner, witness.
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
    std::vector<HostId> learners; ///< Receive the log but have no vote.
    std::vector<HostId> eligibleLeaders; ///< Empty: every voter may lead. Else a voter that is not listed is a witness.

    bool isVoter(HostId const& host) const;
    bool isLearner(HostId const& host) const;
    /// True for a voter that may lead the group.
    bool canLead(HostId const& host) const;

    /// The number of voters needed to commit an entry or to elect a leader.
    size_t quorum() const { return this->voters.size() / 2 + 1; }

    bool operator==(Membership const& other) const;
    bool operator!=(Membership const& other) const { return !(*this == other); }
};

/// True if `next` differs from `current` in the role of at most one host, so that every majority of
/// one shares a voter with every majority of the other.
bool isSingleStep(Membership const& current, Membership const& next);

std::string encodeMembership(Membership const& membership);

/// Throws Error(MalformedMessage).
Membership decodeMembership(std::string_view bytes);

} // namespace cornelpond
