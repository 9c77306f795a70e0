#include "cornelpond/core/config/ConfigTable.h"

#include "cornelpond/core/base/Json.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr size_t maxHistoryVersions = 1000;

    nlohmann::json toJson(ConfigRecord const& record)
    {
        return {
            { "version", record.version.value() },
            { "operationId", record.operationId },
            { "author", record.author },
            { "changedAtMs", record.changedAtMs },
            { "document", record.document },
        };
    }

    ConfigRecord recordFromJson(nlohmann::json const& value)
    {
        ConfigRecord record;
        record.version = ConfigVersion(value.at("version").get<uint64_t>());
        record.operationId = value.at("operationId").get<std::string>();
        record.author = value.at("author").get<std::string>();
        record.changedAtMs = value.at("changedAtMs").get<int64_t>();
        record.document = value.at("document").get<std::string>();
        return record;
    }

    [[noreturn]] void throwDamaged(nlohmann::json::exception const& error)
    {
        throw Error(ResultCode::StorageDamaged, std::string("configuration record: ") + error.what());
    }

} // namespace

std::string encodeConfigChange(ConfigChange const& change)
{
    return toCbor(nlohmann::json::array({ change.expectedVersion.value(), change.operationId, change.author, change.changedAtMs, change.document }));
}

ConfigChange decodeConfigChange(std::string_view bytes)
{
    try {
        nlohmann::json const fields = fromCbor(bytes);
        ConfigChange change;
        change.expectedVersion = ConfigVersion(fields.at(0).get<uint64_t>());
        change.operationId = fields.at(1).get<std::string>();
        change.author = fields.at(2).get<std::string>();
        change.changedAtMs = fields.at(3).get<int64_t>();
        change.document = fields.at(4).get<std::string>();
        return change;
    } catch (nlohmann::json::exception const& error) {
        throwDamaged(error);
    }
}

std::string encodeConfigRecord(ConfigRecord const& record)
{
    return toCbor(toJson(record));
}

ConfigRecord decodeConfigRecord(std::string_view bytes)
{
    try {
        return recordFromJson(fromCbor(bytes));
    } catch (nlohmann::json::exception const& error) {
        throwDamaged(error);
    }
}

ConfigTable::ConfigTable(OnChange onChange)
    : onChange(std::move(onChange))
{
    ConfigRecord initial;
    initial.document = "{}";
    this->history.push_back(initial);
}

ConfigResult ConfigTable::apply(ConfigChange const& change)
{
    if (auto const* earlier = this->findOperation(change.operationId)) {
        bool const isSameDocument = earlier->document == change.document;
        return { isSameDocument ? ResultCode::Ok : ResultCode::IdConflict, earlier->version };
    }
    if (change.expectedVersion != this->current().version)
        return { ResultCode::VersionConflict, this->current().version };
    ConfigRecord record;
    record.version = this->current().version.next();
    record.operationId = change.operationId;
    record.author = change.author;
    record.changedAtMs = change.changedAtMs;
    record.document = change.document;
    this->history.push_back(std::move(record));
    if (this->history.size() > maxHistoryVersions)
        this->history.pop_front();
    this->onChange(this->current());
    return { ResultCode::Ok, this->current().version };
}

ConfigRecord const* ConfigTable::find(ConfigVersion version) const
{
    auto const found = std::find_if(this->history.begin(), this->history.end(), [&](auto const& record) { return record.version == version; });
    return found == this->history.end() ? nullptr : &*found;
}

ConfigRecord const* ConfigTable::findOperation(std::string const& operationId) const
{
    if (operationId.empty())
        return nullptr;
    auto const found = std::find_if(this->history.rbegin(), this->history.rend(), [&](auto const& record) { return record.operationId == operationId; });
    return found == this->history.rend() ? nullptr : &*found;
}

std::string ConfigTable::takeSnapshot() const
{
    nlohmann::json records = nlohmann::json::array();
    for (auto const& record : this->history)
        records.push_back(toJson(record));
    return toCbor(records);
}

void ConfigTable::restore(std::string const& state)
{
    try {
        std::deque<ConfigRecord> restored;
        for (auto const& record : fromCbor(state))
            restored.push_back(recordFromJson(record));
        if (restored.empty())
            throw Error(ResultCode::StorageDamaged, "configuration snapshot without a version");
        this->history = std::move(restored);
    } catch (nlohmann::json::exception const& error) {
        throwDamaged(error);
    }
    this->onChange(this->current());
}

} // namespace cornelpond
