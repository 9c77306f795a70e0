#include "cornelpond/core/config/ConfigExchange.h"

#include "cornelpond/core/base/Json.h"

#include <nlohmann/json.hpp>

namespace cornelpond {

namespace {

    /// A pull that was not answered is repeated after this.
    constexpr Duration pullRetry = Duration::milliseconds(500);

    constexpr char pullMessage = 'p';
    constexpr char recordMessage = 'r';

    std::string encodeRecordMessage(ConfigRecord const& record)
    {
        return recordMessage + encodeConfigRecord(record);
    }

} // namespace

ConfigExchange::ConfigExchange(Clock const& clock, ConfigFollower& follower, Send send)
    : clock(clock)
    , follower(follower)
    , send(std::move(send))
{
}

void ConfigExchange::push(Span<HostId const> hosts)
{
    std::string const message = encodeRecordMessage(this->follower.current());
    for (auto const& host : hosts)
        this->send(host, message);
}

void ConfigExchange::onPeerVersion(HostId const& from, ConfigVersion version, bool isSure)
{
    if (version == this->follower.current().version && isSure)
        this->follower.confirm();
    if (version <= this->follower.current().version)
        return;
    TimePoint const now = this->clock.now();
    bool const isAsked = this->pulled >= version && now - this->pulledAt < pullRetry;
    if (isAsked)
        return;
    this->pulled = version;
    this->pulledAt = now;
    this->send(from, std::string(1, pullMessage));
}

void ConfigExchange::onMessage(HostId const& from, std::string const& payload)
{
    if (payload.empty())
        return;
    if (payload.front() == pullMessage)
        this->send(from, encodeRecordMessage(this->follower.current()));
    else if (payload.front() == recordMessage)
        this->follower.accept(decodeConfigRecord(std::string_view(payload).substr(1)));
}

} // namespace cornelpond
