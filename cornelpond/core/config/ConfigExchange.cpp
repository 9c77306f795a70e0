#include "cornelpond/core/config/ConfigExchange.h"

#include "cornelpond/core/base/Json.h"

#include <nlohmann/json.hpp>

namespace cornelpond {

namespace {

    /// A pull of the same version is repeated only after this time.
    constexpr Duration pullRetryInterval = Duration::milliseconds(500);

    constexpr char pullMessage = 'p';
    constexpr char recordMessage = 'r';

    std::string encodeRecordMessage(ConfigRecord const& record)
    {
        return recordMessage + encodeConfigRecord(record);
    }

} // namespace

ConfigExchange::ConfigExchange(Clock const& clock, LocalConfig& localConfig, Send send)
    : clock(clock)
    , localConfig(localConfig)
    , send(std::move(send))
{
}

void ConfigExchange::push(Span<HostId const> hosts)
{
    std::string const message = encodeRecordMessage(this->localConfig.current());
    for (auto const& host : hosts)
        this->send(host, message);
}

void ConfigExchange::onPeerVersion(HostId const& from, ConfigVersion version, bool isConfirmed)
{
    if (version == this->localConfig.current().version && isConfirmed)
        this->localConfig.confirm();
    if (version <= this->localConfig.current().version)
        return;
    TimePoint const now = this->clock.now();
    bool const isPullPending = this->pulledVersion >= version && now - this->lastPullAt < pullRetryInterval;
    if (isPullPending)
        return;
    this->pulledVersion = version;
    this->lastPullAt = now;
    this->send(from, std::string(1, pullMessage));
}

void ConfigExchange::onMessage(HostId const& from, std::string const& payload)
{
    if (payload.empty())
        return;
    if (payload.front() == pullMessage)
        this->send(from, encodeRecordMessage(this->localConfig.current()));
    else if (payload.front() == recordMessage)
        this->localConfig.accept(decodeConfigRecord(std::string_view(payload).substr(1)));
}

} // namespace cornelpond
