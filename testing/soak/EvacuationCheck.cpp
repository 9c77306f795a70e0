#include "testing/soak/EvacuationCheck.h"

namespace cornelpond {

namespace {

    constexpr Duration startBound = Duration::seconds(5); ///< The shortest `evacuation-ms` of a deployment.
    constexpr Duration retryInterval = Duration::milliseconds(300);
    constexpr Duration callTimeout = Duration::seconds(1);

} // namespace

EvacuationCheck::EvacuationCheck(EventLoop& loop, HttpClient& client, std::vector<Address> controlAddresses, Random& random, std::function<void(std::string const&)> report)
    : loop(loop)
    , client(client)
    , controlAddresses(std::move(controlAddresses))
    , random(random)
    , report(std::move(report))
{
}

void EvacuationCheck::evacuate(std::string const& dataCentre, Duration span)
{
    if (this->evacuations.try_emplace(dataCentre).second)
        this->send(dataCentre, span);
}

void EvacuationCheck::send(std::string const& dataCentre, Duration span)
{
    HttpSendOptions sending;
    sending.timeout = callTimeout;
    char const* const call = this->evacuations.at(dataCentre).isFinishing ? "/finish" : "/start";
    HttpRequest const request { "POST", "/v1/evacuation/" + dataCentre + call, "", {}, "" };
    this->client.send(this->controlAddresses[this->random.below(this->controlAddresses.size())], request, sending,
        [this, dataCentre, span](HttpOutcome const& outcome) { this->onAnswered(dataCentre, span, outcome); });
}

void EvacuationCheck::onAnswered(std::string const& dataCentre, Duration span, HttpOutcome const& outcome)
{
    bool const isAnswered = outcome.kind == HttpOutcome::Kind::Answered;
    if (isAnswered && outcome.response.status / 100 == 4)
        this->report("an evacuation call for " + dataCentre + " was answered " + std::to_string(outcome.response.status));
    if (!isAnswered || outcome.response.status / 100 != 2) {
        this->loop.after(retryInterval, [this, dataCentre, span] { this->send(dataCentre, span); });
        return;
    }
    Evacuation& evacuation = this->evacuations.at(dataCentre);
    if (evacuation.isFinishing) {
        this->evacuations.erase(dataCentre);
        return;
    }
    this->acknowledged++;
    evacuation.acknowledgedAt = this->loop.now();
    this->loop.after(span, [this, dataCentre, span] {
        Evacuation& open = this->evacuations.at(dataCentre);
        open.isFinishing = true;
        if (open.lateStarts)
            this->report(std::to_string(open.lateStarts) + " start orders for " + dataCentre + " while it was evacuated");
        this->send(dataCentre, span);
    });
}

void EvacuationCheck::onStartOrder(std::string const& dataCentre)
{
    auto const found = this->evacuations.find(dataCentre);
    if (found == this->evacuations.end() || found->second.isFinishing || !found->second.acknowledgedAt)
        return;
    found->second.lateStarts += this->loop.now() - *found->second.acknowledgedAt > startBound ? 1 : 0;
}

} // namespace cornelpond
