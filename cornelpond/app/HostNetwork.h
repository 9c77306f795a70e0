#pragma once

// One host's connection to the other hosts of the cluster: peer links, host liveness, the groups' replicated
// logs, forwarding of requests to a group's leader, and distribution of the configuration.
//
// Example:
//   HostNetwork network(loop, random, events, settings, hooks);
//   CommandLog& log = network.openGroup(configGroupId(), machines.hooks());
//   network.start();
//   network.serveByLeader(configGroupId(), ApiKind::Operators, request, answer);
//
// Loop thread only.

#include "cornelpond/adapters/metrics/Metrics.h"
#include "cornelpond/adapters/peer/PeerLink.h"
#include "cornelpond/app/ConfigStore.h"
#include "cornelpond/app/GroupHost.h"
#include "cornelpond/app/LeaderForwarder.h"
#include "cornelpond/app/Settings.h"
#include "cornelpond/core/agreement/VoterReplacement.h"
#include "cornelpond/core/config/ConfigExchange.h"
#include "cornelpond/core/membership/HostTable.h"
#include "cornelpond/core/membership/LeaderTable.h"
#include "cornelpond/core/relay/RelayChoice.h"

#include <nlohmann/json_fwd.hpp>

#include <set>

namespace cornelpond {

struct HostNetworkHooks {
    /// Serves an API request on this host.
    std::function<void(ApiKind api, HttpRequest const& request, ApiAnswerCallback const& answer)> serveLocally;
    std::function<void(ConfigRecord const&)> onConfiguration = [](ConfigRecord const&) {}; ///< Called when a version takes effect on this host.
    std::function<void(HostId const& peer)> onPeerDown = [](HostId const&) {};
    /// State machine hooks for another data centre's task group, of which this host keeps a replica that never
    /// leads.
    std::function<StateMachineHooks(DataCentreId const& dataCentre)> witnessHooks = [](DataCentreId const&) { return StateMachineHooks(); };
};

/// How long a call to a group's leader is tried.
struct LeaderCallOptions {
    Duration maxWait = Duration::seconds(3); ///< Longest wait for a leader while a majority of the group is reachable.
    Duration maxWaitWithoutQuorum = Duration::seconds(2); ///< Longest wait while no majority is reachable; links may still be dialled.
    Duration attemptTimeout = Duration::seconds(5); ///< Of forwarding the call once, until its answer.
    /// Carrying the call out twice does no harm. After an attempt with an unknown outcome it is tried again; if
    /// no attempt gets an answer, it ends with OutcomeUnknown.
    bool isIdempotent = false;
};

class HostNetwork {
public:
    /// References must outlive the object.
    HostNetwork(EventLoop& loop, Random& random, EventSink& events, Settings const& settings, HostNetworkHooks hooks);
    ~HostNetwork();
    HostNetwork(HostNetwork const&) = delete;
    HostNetwork& operator=(HostNetwork const&) = delete;

    /// Opens the group's log. To be called before start. This object reports changes of leadership to the
    /// peers; `hooks.onLeadership` need not.
    CommandLog& openGroup(GroupId const& group, std::string const& folderName, StateMachineHooks hooks);

    /// Sets the receiver of a channel that this object does not handle itself. To be called before start.
    void setReceiver(PeerChannel channel, Transport::Receiver receiver) { this->receivers[channel] = std::move(receiver); }

    /// Reads the data folder and connects to the peers. Returns the bound peer port, or 0 without a listener for
    /// peers.
    uint16_t start();

    /// Call every 20 ms.
    void onTick();

    /// Has the group's leader serve the request, on this host or another one; waits while the group has no
    /// leader, as `options` allow. Refuses with NoQuorum or NotLeader where no leader was found, and with
    /// ForwardFailed, or OutcomeUnknown for an idempotent request, where it may have been carried out.
    void serveByLeader(GroupId const& group, ApiKind api, HttpRequest const& request, ApiAnswerCallback const& answer, LeaderCallOptions const& options = LeaderCallOptions());

    /// True while a host is known to lead the group.
    bool hasLeader(GroupId const& group) const { return !this->leaderOf(group).empty(); }
    HostId leaderOf(GroupId const& group) const;
    bool isReachable(HostId const& host) const { return this->link.isReachable(host); }
    bool hasFeature(HostId const& host, PeerFeature feature) const { return this->link.hasFeature(host, feature); }

    /// Reachable hosts with a disk that are not leaving and were heard of within `maxSilence`, which may include this one.
    std::vector<RelayHost> reachableControlHosts(Duration maxSilence) const;

    /// The IP number of a host from reachableControlHosts, or empty.
    std::string ipOf(HostId const& host) const;

    /// Adds a peer that the settings did not contain at start, and keeps a link to it. Does nothing for a known one.
    void addPeer(PeerSettings const& peer);

    /// Reports to the peers that this host is leaving, and starts to hand its leaderships over.
    void startLeaving();

    /// False while this host leads a group that another reachable voter may lead.
    bool hasHandedOverLeaderships() const;

    Transport& transport() { return this->link; }
    size_t openPeerConnections() const { return this->link.openConnections(); }
    HostTable const& hosts() const { return this->hostTable; }
    LocalConfig const& configuration() const { return this->localConfig; }

    /// To be called with each version that this host's replica of the configuration group applies.
    void onConfigCommitted(ConfigRecord const& record);

    void fillMetrics(Metrics& metrics) const;
    nlohmann::json groupStatus() const;
    nlohmann::json peerStatus() const;

private:
    struct LeaderCall;

    PeerLocalHost linkSelf() const;
    PeerLinkHooks linkHooks();
    HostReport makeReport() const;
    BootstrapMembers plannedMembers(GroupId const& group) const;
    BootstrapMembers bootstrapOf(GroupId const& group) const;
    void onPeerMessage(HostId const& from, PeerMessage const& message);
    void onReport(HostId const& from, std::string const& payload);
    void onLinkChanged(PeerAddress const& peer, bool isUp);
    void onHostChange(HostChange const& change);
    void introduceHost(PeerAddress const& admitted);
    void sendIntroductions(HostId const& host);
    void onIntroduction(std::string const& payload);
    void removeGoneHosts();
    void onLeadership(GroupId const& group, bool isLeader);
    void openUnknownGroup(GroupId const& group);
    void openWitnessGroup(GroupId const& group);
    void attemptCall(std::shared_ptr<LeaderCall> const& call);
    void forwardCall(std::shared_ptr<LeaderCall> const& call, HostId const& leader);
    void onForwardAnswered(std::shared_ptr<LeaderCall> const& call, unsigned number, HttpResponse const& response);
    void onCallAttempted(std::shared_ptr<LeaderCall> const& call, HttpResponse const& response);
    void retryOrRefuse(std::shared_ptr<LeaderCall> const& call);
    void finishCall(LeaderCall& call, HttpResponse const& response);
    bool isMajorityReachable(GroupId const& group) const;
    void runAfter(Duration delay, std::function<void()> action);
    void replaceLostVoters();
    void replaceLostVotersOf(GroupId const& group, ReplicatedLog& log);
    HostView viewOf(EntryHostInfo const& host, DataCentreId const& home, ReplicatedLog const& log) const;
    std::vector<EntryHostInfo> hostsWithDisk() const;
    void serveForwarded(ForwardedRequest const& request, ApiAnswerCallback const& answer);
    void readStoredConfiguration();
    void storeConfiguration(std::string const& bytes);
    bool isConfigured(HostId const& host) const;

    EventLoop& loop;
    EventSink& events;
    Settings const& settings;
    HostNetworkHooks hooks;
    uint64_t incarnation;
    bool isLeaving = false;
    std::vector<EntryHostInfo> configuredHosts; ///< All hosts of the settings, this one included.
    std::set<HostId> introducedHosts; ///< Admitted hosts with a disk that were introduced to the peers.
    std::map<HostId, PeerAddress> admittedHosts; ///< Hosts that are not in the settings.
    std::map<PeerChannel, Transport::Receiver> receivers;
    HostTable hostTable;
    LeaderTable leaderTable;
    PeerLink link;
    GroupHost groups;
    LeaderForwarder forwarder;
    LocalConfig localConfig;
    ConfigExchange configExchange;
    ConfigStore configStore;
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true); ///< Expires with this object; callbacks that are still on the loop check it.
    TimePoint nextHostTick;
    TimePoint nextLeadershipTransfer;
    TimePoint nextVoterCheck;
};

} // namespace cornelpond
