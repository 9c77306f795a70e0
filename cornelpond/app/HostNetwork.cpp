#include "cornelpond/app/HostNetwork.h"

#include "cornelpond/app/CallAttempts.h"
#include "cornelpond/core/base/Json.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr Duration hostTickInterval = Duration::milliseconds(100);
    constexpr Duration leaderRetryInterval = Duration::milliseconds(100);
    constexpr Duration transferRetryInterval = Duration::milliseconds(1500); ///< A transfer that takes longer has been abandoned.
    constexpr Duration goneHostRetention = Duration::minutes(10);

    HostTableTimes hostTimes(Duration heartbeatInterval)
    {
        HostTableTimes times;
        times.expectedInterval = heartbeatInterval;
        times.suspectAfterMin = std::max(times.suspectAfterMin, heartbeatInterval * 4);
        return times;
    }

    std::vector<EntryHostInfo> plannedHosts(Settings const& settings)
    {
        std::vector<EntryHostInfo> hosts { { settings.host, settings.dataCentre, !settings.dataFolder.empty() } };
        for (auto const& peer : settings.peers)
            hosts.push_back({ peer.host, peer.dataCentre, peer.hasDisk });
        return hosts;
    }

    PeerLinkTimes linkTimes(Settings const& settings)
    {
        PeerLinkTimes times;
        times.minHeartbeatInterval = settings.peerHeartbeatInterval;
        times.handshakeTimeout = settings.peerHandshakeTimeout;
        times.maxBackoff = settings.maxPeerBackoff;
        return times;
    }

    PeerLinkLimits linkLimits(Settings const& settings)
    {
        PeerLinkLimits limits;
        limits.maxConnections = settings.maxPeerConnections;
        return limits;
    }

    /// The folder name for the replica of another data centre's group.
    std::string witnessFolderName(GroupId const& group)
    {
        return "witness-" + percentEncode(dataCentreOf(group).value());
    }

} // namespace

/// A call to a group's leader, over all its attempts.
struct HostNetwork::LeaderCall {
    explicit LeaderCall(LeaderCallOptions const& options)
        : options(options)
        , attempts(options.isIdempotent)
    {
    }

    ForwardedRequest request;
    ApiAnswerCallback answer;
    LeaderCallOptions options;
    TimePoint started;
    CallAttempts attempts;
    unsigned forwardCount = 0;
    unsigned openForward = 0; ///< Number of the forwarded attempt that the call waits for; 0: none.
    bool isAnswered = false;
};

HostNetwork::HostNetwork(EventLoop& loop, Random& random, EventSink& events, Settings const& settings, HostNetworkHooks givenHooks)
    : loop(loop)
    , events(events)
    , settings(settings)
    , hooks(std::move(givenHooks))
    , incarnation(random.below(UINT32_MAX))
    , configuredHosts(plannedHosts(settings))
    , hostTable(hostTimes(settings.peerHeartbeatInterval), [this](HostChange const& change) { this->onHostChange(change); })
    , link(loop, random, events, this->linkSelf(), linkTimes(settings), linkLimits(settings), this->linkHooks())
    , groups(loop, loop, random, events, settings.host, settings.dataFolder, settings.maxLogFlushPause,
          [this](HostId const& to, std::string payload) { this->link.send(to, { PeerChannel::Agreement, std::move(payload) }); })
    , forwarder(loop, this->link, random.next(), [this](ForwardedRequest const& request, ApiAnswerCallback const& answer) { this->serveForwarded(request, answer); })
    , localConfig({ [this](ConfigRecord const& record) { this->hooks.onConfiguration(record); }, [this](std::string const& bytes) { this->storeConfiguration(bytes); } })
    , configExchange(loop, this->localConfig, [this](HostId const& to, std::string payload) { this->link.send(to, { PeerChannel::Configuration, std::move(payload) }); })
    , configStore(loop, events, settings.dataFolder + "/config-in-force")
{
    this->groups.setUnknownGroupHandler([this](GroupId const& group) { this->openUnknownGroup(group); });
    for (auto const& peer : settings.peers) {
        this->hostTable.add(peer.host, peer.dataCentre, loop.now());
        this->link.addPeer({ peer.host, peer.dataCentre, peer.address });
    }
}

HostNetwork::~HostNetwork() = default;

PeerLocalHost HostNetwork::linkSelf() const
{
    return { this->settings.cluster, this->settings.host, this->settings.dataCentre, this->settings.peerToken, this->settings.admitNewHosts, !this->settings.dataFolder.empty(), this->settings.dialsAllPeers, this->settings.peerRoutes };
}

PeerLinkHooks HostNetwork::linkHooks()
{
    PeerLinkHooks linkHooks;
    linkHooks.onMessage = [this](HostId const& from, PeerMessage const& message) { this->onPeerMessage(from, message); };
    linkHooks.onLinkChanged = [this](PeerAddress const& peer, bool isUp) { this->onLinkChanged(peer, isUp); };
    linkHooks.heartbeatPayload = [this] { return encodeHostReport(this->makeReport()); };
    linkHooks.onHeartbeat = [this](HostId const& from, std::string const& payload) { this->onReport(from, payload); };
    return linkHooks;
}

HostReport HostNetwork::makeReport() const
{
    HostReport report;
    report.incarnation = this->incarnation;
    report.isLeaving = this->isLeaving;
    report.hasDisk = !this->settings.dataFolder.empty();
    report.hasConfiguration = this->localConfig.isKnown();
    report.configVersion = this->localConfig.current().version;
    report.ledGroups = this->groups.ledGroups();
    return report;
}

BootstrapMembers HostNetwork::plannedMembers(GroupId const& group) const
{
    if (!this->settings.initialVoters.empty())
        return group == configGroupId() ? BootstrapMembers { this->settings.initialVoters, {} } : BootstrapMembers();
    return group == configGroupId() ? configGroupMembers(this->configuredHosts) : taskGroupMembers(dataCentreOf(group), this->configuredHosts);
}

/// Empty for a host that joins; it waits until a leader makes it a member. Otherwise two hosts that replace
/// others, with settings from different times, could form a group of their own.
BootstrapMembers HostNetwork::bootstrapOf(GroupId const& group) const
{
    return this->settings.joins ? BootstrapMembers() : this->plannedMembers(group);
}

CommandLog& HostNetwork::openGroup(GroupId const& group, std::string const& folderName, StateMachineHooks groupHooks)
{
    auto const inner = std::move(groupHooks.onLeadership);
    groupHooks.onLeadership = [this, group, inner](bool isLeader) {
        inner(isLeader);
        this->onLeadership(group, isLeader);
    };
    return this->groups.open(group, this->bootstrapOf(group), folderName, std::move(groupHooks));
}

uint16_t HostNetwork::start()
{
    this->readStoredConfiguration();
    for (auto const& dataCentre : dataCentresOf(this->configuredHosts)) {
        GroupId const group = taskGroupId(dataCentre);
        if (dataCentre != this->settings.dataCentre && this->bootstrapOf(group).hasVoter(this->settings.host))
            this->openWitnessGroup(group);
    }
    this->groups.start(this->settings.peers.empty());
    uint16_t port = 0;
    if (!this->settings.listen.peers.ip.empty())
        port = this->link.listen(this->settings.listen.peers);
    if (port || !this->settings.peers.empty())
        this->link.start();
    return port;
}

void HostNetwork::onTick()
{
    TimePoint const now = this->loop.now();
    this->groups.onTick();
    this->configStore.onTick();
    if (now >= this->nextHostTick) {
        this->nextHostTick = now + hostTickInterval;
        this->hostTable.onTick(now);
        this->removeGoneHosts();
    }
    if (this->isLeaving && now >= this->nextLeadershipTransfer) {
        this->nextLeadershipTransfer = now + transferRetryInterval;
        this->groups.transferLeaderships();
    }
    if (now >= this->nextVoterCheck) {
        this->nextVoterCheck = now + this->settings.voterCheckInterval;
        this->replaceLostVoters();
    }
}

void HostNetwork::onPeerMessage(HostId const& from, PeerMessage const& message)
{
    switch (message.channel) {
    case PeerChannel::Agreement:
        this->groups.onMessage(from, message.payload);
        return;
    case PeerChannel::Forward:
        this->forwarder.onMessage(from, message.payload);
        return;
    case PeerChannel::Configuration:
        this->configExchange.onMessage(from, message.payload);
        return;
    case PeerChannel::Membership:
        this->onIntroduction(message.payload);
        return;
    default:
        break;
    }
    auto const receiver = this->receivers.find(message.channel);
    if (receiver != this->receivers.end())
        receiver->second(from, message);
}

void HostNetwork::onReport(HostId const& from, std::string const& payload)
{
    HostReport const report = decodeHostReport(payload);
    this->hostTable.onReport(from, report, this->loop.now());
    this->leaderTable.onReport(from, report.ledGroups);
    auto const admitted = this->admittedHosts.find(from);
    if (report.hasDisk && admitted != this->admittedHosts.end() && this->introducedHosts.insert(from).second)
        this->introduceHost(admitted->second);
    this->configExchange.onPeerVersion(from, report.configVersion, report.hasConfiguration);
}

void HostNetwork::onLinkChanged(PeerAddress const& peer, bool isUp)
{
    if (isUp)
        this->hostTable.add(peer.host, peer.dataCentre, this->loop.now()); // The data centre of a seed is not known before.
    if (isUp && !this->isConfigured(peer.host)) {
        if (this->admittedHosts.emplace(peer.host, peer).second)
            this->events.emit(Event(EventId::PeerAdmitted).with("peer", peer.host).with("dataCentre", peer.dataCentre).with("address", peer.address.text()));
    }
    if (isUp)
        this->sendIntroductions(peer.host);
    this->hostTable.onLink(peer.host, isUp, this->loop.now());
    if (isUp)
        return;
    this->leaderTable.removeHost(peer.host);
    this->forwarder.onPeerDown(peer.host);
    this->hooks.onPeerDown(peer.host);
}

void HostNetwork::onHostChange(HostChange const& change)
{
    this->events.emit(Event(EventId::HostStateChanged)
                          .with("peer", change.host)
                          .with("from", std::string(hostStateName(change.from)))
                          .with("to", std::string(hostStateName(change.to)))
                          .with("restarted", static_cast<int>(change.isNewProcess)));
}

bool HostNetwork::isConfigured(HostId const& host) const
{
    return std::any_of(this->configuredHosts.begin(), this->configuredHosts.end(), [&](auto const& configured) { return configured.host == host; });
}

namespace {

    std::string encodeIntroduction(PeerAddress const& peer)
    {
        return toCbor(nlohmann::json::array({ peer.host.value(), peer.dataCentre.value(), peer.address.ip, peer.address.port }));
    }

} // namespace

/// Only used for hosts with a disk: they vote and lead, so that every host must know them. Hosts without a disk
/// dial the others themselves.
void HostNetwork::introduceHost(PeerAddress const& admitted)
{
    for (auto const& [host, known] : this->hostTable.all()) {
        if (host != admitted.host && known.isLinkUp)
            this->link.send(host, { PeerChannel::Membership, encodeIntroduction(admitted) });
    }
}

/// Sends the host the admitted hosts with a disk; it has the others in its own settings.
void HostNetwork::sendIntroductions(HostId const& host)
{
    for (auto const& [other, peer] : this->admittedHosts) {
        if (other != host && this->introducedHosts.count(other))
            this->link.send(host, { PeerChannel::Membership, encodeIntroduction(peer) });
    }
}

void HostNetwork::onIntroduction(std::string const& payload)
{
    nlohmann::json const fields = fromCbor(payload);
    PeerAddress introduced;
    try {
        introduced.host = HostId(fields.at(0).get<std::string>());
        introduced.dataCentre = DataCentreId(fields.at(1).get<std::string>());
        introduced.address = { fields.at(2).get<std::string>(), static_cast<uint16_t>(wholeNumber(fields.at(3), UINT16_MAX)) };
    } catch (nlohmann::json::exception const& error) {
        throw Error(ResultCode::MalformedJson, std::string("introduction: ") + error.what());
    }
    bool const isKnown = this->hostTable.find(introduced.host) != nullptr;
    if (!this->settings.admitNewHosts || isKnown || introduced.host == this->settings.host)
        return;
    this->link.addPeer(introduced);
}

/// Drops admitted hosts that have been gone for long; otherwise every host that was ever replaced would be
/// dialled for ever.
void HostNetwork::removeGoneHosts()
{
    for (auto at = this->admittedHosts.begin(); at != this->admittedHosts.end();) {
        KnownHost const* known = this->hostTable.find(at->first);
        bool const isExpired = known && known->state == HostState::Gone && this->loop.now() - known->stateSince > goneHostRetention;
        if (!isExpired) {
            ++at;
            continue;
        }
        this->link.removePeer(at->first);
        this->hostTable.remove(at->first);
        this->introducedHosts.erase(at->first);
        at = this->admittedHosts.erase(at);
    }
}

void HostNetwork::onLeadership(GroupId const& group, bool isLeader)
{
    if (isLeader && group == configGroupId())
        this->localConfig.confirm();
    // Deferred until the log has finished its change of role.
    this->runAfter(Duration(), [this] { this->link.sendHeartbeats(); });
}

/// A spare host gets its first message of a group when the group's leader makes it a learner.
void HostNetwork::openUnknownGroup(GroupId const& group)
{
    DataCentreId const dataCentre = dataCentreOf(group);
    std::set<DataCentreId> const known = dataCentresOf(this->configuredHosts);
    if (this->settings.dataFolder.empty() || !known.count(dataCentre))
        return;
    this->openWitnessGroup(group);
    this->groups.startGroup(group);
}

void HostNetwork::openWitnessGroup(GroupId const& group)
{
    StateMachineHooks witnessHooks = this->hooks.witnessHooks(dataCentreOf(group));
    witnessHooks.onLeadership = [](bool) {};
    this->openGroup(group, witnessFolderName(group), std::move(witnessHooks));
}

HostId HostNetwork::leaderOf(GroupId const& group) const
{
    if (ReplicatedLog const* log = this->groups.find(group)) {
        HostId leader = log->leader();
        if (!leader.empty())
            return leader;
    }
    return this->leaderTable.leaderOf(group);
}

void HostNetwork::serveByLeader(GroupId const& group, ApiKind api, HttpRequest const& request, ApiAnswerCallback const& answer, LeaderCallOptions const& options)
{
    auto call = std::make_shared<LeaderCall>(options);
    call->request.group = group;
    call->request.api = api;
    call->request.request = request;
    call->answer = answer;
    call->started = this->loop.now();
    this->attemptCall(call);
}

void HostNetwork::attemptCall(std::shared_ptr<LeaderCall> const& call)
{
    if (call->isAnswered)
        return;
    GroupId const& group = call->request.group;
    ReplicatedLog const* log = this->groups.find(group);
    if (log && log->isLeader()) {
        this->hooks.serveLocally(call->request.api, call->request.request, [this, alive = std::weak_ptr<bool>(this->lifetime), call](HttpResponse const& response) {
            if (!alive.expired())
                this->onCallAttempted(call, response);
        });
        return;
    }
    HostId const leader = this->leaderOf(group);
    if (leader.empty() || leader == this->settings.host || !this->link.isReachable(leader)) {
        this->retryOrRefuse(call);
        return;
    }
    this->forwardCall(call, leader);
}

void HostNetwork::forwardCall(std::shared_ptr<LeaderCall> const& call, HostId const& leader)
{
    unsigned const number = call->openForward = ++call->forwardCount;
    Duration timeout = call->options.attemptTimeout;
    if (call->options.isIdempotent) {
        // The answer to this attempt still counts while later ones are made: a leader that is slow for long answers each late.
        timeout = timeout + std::max(call->options.maxWait - (this->loop.now() - call->started), Duration());
        this->runAfter(call->options.attemptTimeout, [this, waiting = std::weak_ptr<LeaderCall>(call), number] {
            if (auto const open = waiting.lock())
                this->onForwardAnswered(open, number, refusal(ResultCode::ForwardFailed, "the leader did not answer in time"));
        });
    }
    this->forwarder.forward(leader, call->request, timeout, [this, call, number](HttpResponse const& response) { this->onForwardAnswered(call, number, response); });
}

void HostNetwork::onForwardAnswered(std::shared_ptr<LeaderCall> const& call, unsigned number, HttpResponse const& response)
{
    if (call->isAnswered)
        return;
    if (call->openForward == number) {
        call->openForward = 0;
        this->onCallAttempted(call, response);
        return;
    }
    if (call->attempts.isConclusive(response))
        this->finishCall(*call, response);
}

void HostNetwork::onCallAttempted(std::shared_ptr<LeaderCall> const& call, HttpResponse const& response)
{
    if (call->isAnswered)
        return;
    if (call->attempts.onAnswer(response) == CallAttempts::Next::TryAgain)
        this->retryOrRefuse(call);
    else
        this->finishCall(*call, response);
}

void HostNetwork::finishCall(LeaderCall& call, HttpResponse const& response)
{
    call.isAnswered = true;
    HttpResponse const answer = call.attempts.finalAnswer(response);
    if (answer.status != response.status) {
        this->events.emit(Event(EventId::RefusalWithheld)
                              .with("method", call.request.request.method)
                              .with("path", call.request.request.path)
                              .with("status", response.status)
                              .with("answered", answer.status)
                              .with("lastedMs", this->loop.now() - call.started));
    }
    call.answer(answer);
}

void HostNetwork::retryOrRefuse(std::shared_ptr<LeaderCall> const& call)
{
    bool const hasMajority = this->isMajorityReachable(call->request.group);
    Duration const waited = this->loop.now() - call->started;
    if (waited < (hasMajority ? call->options.maxWait : call->options.maxWaitWithoutQuorum) && !this->isLeaving) {
        this->runAfter(leaderRetryInterval, [this, call] { this->attemptCall(call); });
        return;
    }
    if (hasMajority)
        this->finishCall(*call, refusal(ResultCode::NotLeader, "no leader of group '" + call->request.group.value() + "' is known"));
    else
        this->finishCall(*call, refusal(ResultCode::NoQuorum, "no majority of group '" + call->request.group.value() + "' is in reach"));
}

bool HostNetwork::isMajorityReachable(GroupId const& group) const
{
    ReplicatedLog const* log = this->groups.find(group);
    bool const isMember = log && !log->membership().voters.empty();
    std::vector<HostId> const voters = isMember ? log->membership().voters : this->plannedMembers(group).voters;
    auto const reachable = std::count_if(voters.begin(), voters.end(), [&](auto const& voter) { return voter == this->settings.host || this->link.isReachable(voter); });
    return static_cast<size_t>(reachable) >= voters.size() / 2 + 1;
}

void HostNetwork::serveForwarded(ForwardedRequest const& request, ApiAnswerCallback const& answer)
{
    ReplicatedLog const* log = this->groups.find(request.group);
    if (!log || !log->isLeader())
        answer(refusal(ResultCode::NotLeader, "this host does not lead group '" + request.group.value() + "'"));
    else
        this->hooks.serveLocally(request.api, request.request, answer);
}

void HostNetwork::runAfter(Duration delay, std::function<void()> action)
{
    this->loop.after(delay, [alive = std::weak_ptr<bool>(this->lifetime), action = std::move(action)] {
        if (!alive.expired())
            action();
    });
}

void HostNetwork::replaceLostVoters()
{
    for (auto const& group : this->groups.servedGroups()) {
        ReplicatedLog* log = this->groups.find(group);
        if (log->canChangeMembership())
            this->replaceLostVotersOf(group, *log);
    }
}

void HostNetwork::replaceLostVotersOf(GroupId const& group, ReplicatedLog& log)
{
    DataCentreId const home = dataCentreOf(group);
    std::vector<EntryHostInfo> candidates = this->hostsWithDisk();
    std::stable_partition(candidates.begin(), candidates.end(), [&](auto const& host) { return host.dataCentre == home; });
    GroupView view;
    view.self = this->settings.host;
    view.membership = log.membership();
    view.voterTarget = this->settings.initialVoters.empty() ? this->plannedMembers(group).voters.size() : this->settings.voterTarget;
    for (auto const& host : candidates)
        view.hosts.push_back(this->viewOf(host, home, log));
    VoterReplacementTimes times;
    if (home.empty())
        times.voterLostAfter = this->settings.voterLostAfter;
    times.learnerLostAfter = this->settings.learnerLostAfter;
    if (auto const next = nextMembership(view, times))
        log.proposeMembership(*next, [](ProposalOutcome const&) {});
}

HostView HostNetwork::viewOf(EntryHostInfo const& host, DataCentreId const& home, ReplicatedLog const& log) const
{
    HostView view;
    view.host = host.host;
    view.isEligibleLeader = home.empty() || host.dataCentre == home;
    bool const isMember = log.membership().isVoter(host.host) || log.membership().isLearner(host.host);
    view.isCaughtUp = isMember && log.isCaughtUp(host.host);
    KnownHost const* known = this->hostTable.find(host.host);
    if (host.host == this->settings.host)
        view.silentFor = Duration();
    else if (isMember)
        view.silentFor = log.silentFor(host.host);
    else
        view.silentFor = known && known->state == HostState::Alive ? this->loop.now() - known->lastReportAt : Duration::infinite();
    return view;
}

std::vector<EntryHostInfo> HostNetwork::hostsWithDisk() const
{
    std::vector<EntryHostInfo> found;
    std::copy_if(this->configuredHosts.begin(), this->configuredHosts.end(), std::back_inserter(found), [](auto const& host) { return host.hasDisk; });
    for (auto const& [host, peer] : this->admittedHosts) {
        KnownHost const* known = this->hostTable.find(host);
        if (known && known->report.hasDisk)
            found.push_back({ host, peer.dataCentre, true });
    }
    return found;
}

std::vector<RelayHost> HostNetwork::reachableControlHosts(Duration maxSilence) const
{
    std::vector<RelayHost> found;
    if (!this->settings.dataFolder.empty() && !this->isLeaving)
        found.push_back({ this->settings.host, this->settings.dataCentre });
    for (auto const& [host, known] : this->hostTable.all()) {
        bool const isHealthy = known.isLinkUp && known.state == HostState::Alive && this->link.silentFor(host) <= maxSilence;
        if (isHealthy && known.report.hasDisk && !known.report.isLeaving)
            found.push_back({ host, known.dataCentre });
    }
    return found;
}

std::string HostNetwork::ipOf(HostId const& host) const
{
    if (host == this->settings.host)
        return this->settings.listen.peers.ip;
    auto const admitted = this->admittedHosts.find(host);
    if (admitted != this->admittedHosts.end())
        return admitted->second.address.ip;
    auto const isSameHost = [&](PeerSettings const& peer) { return peer.host == host; };
    auto const peer = std::find_if(this->settings.peers.begin(), this->settings.peers.end(), isSameHost);
    return peer == this->settings.peers.end() ? std::string() : peer->address.ip;
}

void HostNetwork::onConfigCommitted(ConfigRecord const& record)
{
    bool const isNew = this->localConfig.accept(record);
    ReplicatedLog const* log = this->groups.find(configGroupId());
    if (!isNew || !log || !log->isLeader())
        return;
    std::vector<HostId> reachable;
    for (auto const& [host, known] : this->hostTable.all()) {
        if (known.isLinkUp)
            reachable.push_back(host);
    }
    this->configExchange.push(reachable);
}

void HostNetwork::readStoredConfiguration()
{
    if (this->settings.dataFolder.empty())
        return;
    try {
        std::string const bytes = this->configStore.read();
        if (!bytes.empty())
            this->localConfig.restore(bytes);
    } catch (Error const& error) {
        this->events.emit(Event(EventId::ConfigurationStoreFailed).with("code", static_cast<int>(error.code())).with("reason", std::string(error.what())));
    }
}

void HostNetwork::storeConfiguration(std::string const& bytes)
{
    if (!this->settings.dataFolder.empty())
        this->configStore.store(bytes);
}

void HostNetwork::addPeer(PeerSettings const& peer)
{
    bool const isKnown = std::any_of(this->admittedHosts.begin(), this->admittedHosts.end(), [&](auto const& admitted) { return admitted.second.address == peer.address; });
    if (isKnown || this->hostTable.find(peer.host) || peer.host == this->settings.host)
        return;
    this->hostTable.add(peer.host, peer.dataCentre, this->loop.now());
    this->link.addPeer({ peer.host, peer.dataCentre, peer.address });
}

void HostNetwork::startLeaving()
{
    this->isLeaving = true;
    this->link.sendHeartbeats();
}

bool HostNetwork::hasHandedOverLeaderships() const
{
    std::vector<LedGroup> const led = this->groups.ledGroups();
    return std::none_of(led.begin(), led.end(), [&](auto const& entry) {
        Membership const& members = this->groups.find(entry.group)->membership();
        return std::any_of(members.voters.begin(), members.voters.end(),
            [&](auto const& voter) { return voter != this->settings.host && members.canLead(voter) && this->link.isReachable(voter); });
    });
}

void HostNetwork::fillMetrics(Metrics& metrics) const
{
    PeerLinkCounters const counters = this->link.counters();
    auto const gauge = [&](char const* name, uint64_t value) { metrics.setGauge(name, static_cast<int64_t>(value)); };
    gauge("peerMessagesSent", counters.messagesSent);
    gauge("peerMessagesDropped", counters.messagesDropped);
    gauge("peerHeartbeatsSent", counters.heartbeatsSent);
    gauge("peerConnectionsMade", counters.connectionsMade);
    gauge("peerConnectionsRefused", counters.connectionsRefused);
    gauge("peerConnectionsOpen", this->link.openConnections());
    gauge("peerConnectionsBound", this->settings.maxPeerConnections);
    gauge("peerBytesSent", counters.bytesSent);
    gauge("peerBytesReceived", counters.bytesReceived);
    gauge("peerSocketReads", counters.socketReads);
    gauge("peerSocketWrites", counters.socketWrites);
    for (auto const& [channel, count] : counters.messagesReceived)
        metrics.setGauge("peerMessagesReceived{channel=\"" + std::string(peerChannelName(channel)) + "\"}", static_cast<int64_t>(count));
    gauge("forwardsOpen", this->forwarder.openRequests());
    gauge("groupsWithoutStorage", this->groups.groupsWithoutStorage());
    gauge("configVersion", this->localConfig.current().version.value());
}

nlohmann::json HostNetwork::groupStatus() const
{
    nlohmann::json all = nlohmann::json::array();
    for (auto const& group : this->groups.servedGroups()) {
        ReplicatedLog const* log = this->groups.find(group);
        nlohmann::json voters = nlohmann::json::array();
        for (auto const& voter : log->membership().voters)
            voters.push_back(voter.value());
        nlohmann::json learners = nlohmann::json::array();
        for (auto const& learner : log->membership().learners)
            learners.push_back(learner.value());
        all.push_back({ { "group", group.value() }, { "leader", this->leaderOf(group).value() }, { "term", log->term().value() }, { "commitIndex", log->commitIndex().value() }, { "voters", voters },
            { "learners", learners }, { "leads", log->isLeader() }, { "confirmed", log->isLeadershipConfirmed() } });
    }
    for (auto const& group : { configGroupId(), taskGroupId(this->settings.dataCentre) }) {
        if (!this->groups.find(group))
            all.push_back({ { "group", group.value() }, { "leader", this->leaderOf(group).value() }, { "voters", nlohmann::json::array() }, { "learners", nlohmann::json::array() }, { "leads", false } });
    }
    return all;
}

nlohmann::json HostNetwork::peerStatus() const
{
    nlohmann::json all = nlohmann::json::array();
    for (auto const& [host, known] : this->hostTable.all()) {
        all.push_back({ { "host", host.value() }, { "dataCentre", known.dataCentre.value() }, { "state", std::string(hostStateName(known.state)) }, { "linkUp", known.isLinkUp },
            { "configVersion", known.report.configVersion.value() }, { "disk", known.report.hasDisk } });
    }
    return all;
}

} // namespace cornelpond
