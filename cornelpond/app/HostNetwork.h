#pragma once

// What makes several entry hosts one system, at one of them: the links, who is alive, the groups' logs,
// the way of a request to its leader, and the spread of the configuration.
//
// Example:
//   HostNetwork network(loop, random, events, settings, hooks);
//   CommandLog& log = network.openGroup(configGroupId(), machines.hooks());
//   network.start();
//   network.serveByLeader(configGroupId(), ApiKind::Operators, request, answer);
//
// Loop thread only.

#include "cornelpond/adapters/file/DurableFile.h"
#include "cornelpond/adapters/metrics/Metrics.h"
#include "cornelpond/adapters/peer/PeerLink.h"
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
    std::function<void(ConfigRecord const&)> onConfiguration = [](ConfigRecord const&) {}; ///< A version is in force.
    std::function<void(HostId const& peer)> onPeerDown = [](HostId const&) {};
    /// The state machines of another data centre's group that this host keeps without leading it.
    std::function<StateMachineHooks(DataCentreId const& dataCentre)> witnessHooks = [](DataCentreId const&) { return StateMachineHooks(); };
};

/// How hard a call is tried to bring to the leader.
struct LeaderCallOptions {
    Duration maxWait = Duration::seconds(3); ///< For a group without a leader, when a majority is in reach.
    Duration maxWaitWithoutQuorum = Duration::seconds(2); ///< For links that are just being dialled.
    Duration attemptTimeout = Duration::seconds(5); ///< Of one hand-over and its answer.
    /// Carrying the call out twice does no harm: after an unknown outcome it is tried again, and ends with
    /// OutcomeUnknown where no answer comes.
    bool isIdempotent = false;
};

class HostNetwork {
public:
    /// References must outlive the object.
    HostNetwork(EventLoop& loop, Random& random, EventSink& events, Settings const& settings, HostNetworkHooks hooks);
    ~HostNetwork();
    HostNetwork(HostNetwork const&) = delete;
    HostNetwork& operator=(HostNetwork const&) = delete;

    /// Opens the group's log; before start. `hooks` come without onLeadership's news to the peers, which
    /// this object sends.
    CommandLog& openGroup(GroupId const& group, std::string const& folderName, StateMachineHooks hooks);

    /// Other modules' peer messages. Set before start.
    void setReceiver(PeerChannel channel, Transport::Receiver receiver) { this->receivers[channel] = std::move(receiver); }

    /// Reads the data folder and joins the peers. Returns the bound peer port, or 0 without peers.
    uint16_t start();

    /// Call every 20 ms.
    void onTick();

    /// Has the group's leader serve the request, wherever it is; waits a little while the group has none.
    /// Refuses with NoQuorum or NotLeader, and with ForwardFailed where the request may have been carried out.
    void serveByLeader(GroupId const& group, ApiKind api, HttpRequest const& request, ApiAnswerCallback const& answer, LeaderCallOptions const& options = LeaderCallOptions());

    /// True while some host is known to lead the group.
    bool hasLeader(GroupId const& group) const { return !this->leaderOf(group).empty(); }
    HostId leaderOf(GroupId const& group) const;
    bool isReachable(HostId const& host) const { return this->link.isReachable(host); }

    /// Hosts with a disk that are in reach and do not leave; this one too unless it leaves.
    std::vector<RelayHost> reachableControlHosts() const;

    /// The IP number of a host named by controlHostsInReach, or empty.
    std::string ipOf(HostId const& host) const;

    /// Starts to keep a link to a peer that no setting named at the start.
    void addPeer(PeerSettings const& peer);

    /// Tells the peers that this host goes, and hands its leaderships over.
    void startLeaving();

    /// False while this host leads a group that another host could lead.
    bool hasHandedOverLeaderships() const;

    Transport& transport() { return this->link; }
    HostTable const& hosts() const { return this->hostTable; }
    LocalConfig const& configuration() const { return this->localConfig; }

    /// A version that this host's own group member has applied.
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
    void introduceHost(PeerAddress const& newcomer);
    void sendIntroductions(HostId const& host);
    void onIntroduction(std::string const& payload);
    void removeGoneHosts();
    void onLeadership(GroupId const& group, bool isLeader);
    void openUnknownGroup(GroupId const& group);
    void openWitnessGroup(GroupId const& group);
    void attemptCall(std::shared_ptr<LeaderCall> const& errand);
    void onCallAttempted(std::shared_ptr<LeaderCall> const& errand, HttpResponse const& response);
    void retryOrRefuse(std::shared_ptr<LeaderCall> const& errand);
    static void finishCall(LeaderCall const& errand, HttpResponse const& response);
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
    std::set<HostId> introducedHosts; ///< Newcomers with a disk that all peers were told of.
    std::map<HostId, PeerAddress> admittedHosts; ///< Admitted hosts that no setting names.
    std::map<PeerChannel, Transport::Receiver> receivers;
    HostTable hostTable;
    LeaderTable leaderTable;
    PeerLink link;
    GroupHost groups;
    LeaderForwarder forwarder;
    LocalConfig localConfig;
    ConfigExchange configExchange;
    DurableFile configFile;
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true); ///< Callbacks left on the loop check it.
    TimePoint nextHostTick;
    TimePoint nextLeadershipTransfer;
    TimePoint nextVoterCheck;
};

} // namespace cornelpond
