#include "cornelpond/app/ConfigApi.h"

#include "cornelpond/adapters/schema/SchemaCheck.h"
#include "cornelpond/app/Settings.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>

namespace cornelpond {

namespace {

    nlohmann::json toJson(ConfigRecord const& record)
    {
        return {
            { "version", record.version.value() },
            { "operationId", record.operationId },
            { "author", record.author },
            { "changedAtMs", record.changedAtMs },
            { "document", nlohmann::json::parse(record.document) },
        };
    }

    std::optional<ConfigVersion> parseVersion(std::string const& text)
    {
        uint64_t number = 0;
        char const* const end = text.data() + text.size();
        auto const parsed = std::from_chars(text.data(), end, number);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            return std::nullopt;
        return ConfigVersion(number);
    }

} // namespace

void ConfigApi::addRoutes(ApiRouter& router)
{
    router.add("GET", "/v1/config", [this](ApiCall const& call) {
        std::string const versionText = call.parameter("version");
        ConfigRecord const* record = &this->localConfig.current();
        if (!versionText.empty()) {
            std::optional<ConfigVersion> const version = parseVersion(versionText);
            bool const isInForce = version && *version == record->version;
            if (!isInForce)
                record = version ? this->config.table().find(*version) : nullptr;
        }
        if (!record)
            throw Error(ResultCode::NotFound, "no configuration version '" + versionText + "'");
        call.answer(jsonResponse(200, toJson(*record)));
    });
    router.add("GET", "/v1/config/history", [this](ApiCall const& call) {
        nlohmann::json versions = nlohmann::json::array();
        for (auto const& record : this->config.table().all())
            versions.push_back({ { "version", record.version.value() }, { "author", record.author }, { "operationId", record.operationId }, { "changedAtMs", record.changedAtMs } });
        call.answer(jsonResponse(200, { { "versions", std::move(versions) } }));
    });
    router.add("PUT", "/v1/config", [this](ApiCall const& call) { this->changeConfig(call); });
}

HttpResponse ConfigApi::changeRefusal(ConfigResult const& result)
{
    auto const& info = resultCodeInfo(result.code);
    std::string const message = "not accepted; version in force: " + std::to_string(result.version.value());
    return jsonResponse(info.httpStatus, { { "code", static_cast<int>(result.code) }, { "name", std::string(info.name) }, { "message", message }, { "version", result.version.value() } });
}

void ConfigApi::changeConfig(ApiCall const& call)
{
    nlohmann::json const body = call.body(this->limits);
    ConfigChange change;
    change.operationId = stringAt(body, "operationId");
    change.author = stringAt(body, "author");
    if (!body.contains("expectedVersion") || !body["expectedVersion"].is_number_unsigned())
        throw Error(ResultCode::SchemaViolation, "/expectedVersion: expected a whole number");
    change.expectedVersion = ConfigVersion(body["expectedVersion"].get<uint64_t>());
    if (!body.contains("document"))
        throw Error(ResultCode::SchemaViolation, "/document: missing");
    nlohmann::json const& document = body["document"];
    std::vector<DocumentFault> faults = checkSchema(policySchema(), document);
    if (faults.empty())
        faults = crossCheckPolicy(document);
    if (!faults.empty()) {
        this->events.emit(Event(EventId::ConfigurationRefused).with("operation", change.operationId).with("faults", faults.size()));
        throw DocumentError(ResultCode::SchemaViolation, std::move(faults));
    }
    change.document = document.dump();
    change.changedAtMs = this->clock.wallMilliseconds();
    this->config.change(change, [this, call, change](ConfigResult const& result) {
        bool const isAccepted = result.code == ResultCode::Ok;
        this->events.emit(Event(isAccepted ? EventId::ConfigurationAccepted : EventId::ConfigurationRefused).with("operation", change.operationId).with("version", result.version).with("code", static_cast<int>(result.code)));
        if (isAccepted) {
            call.answer(jsonResponse(200, { { "code", 0 }, { "version", result.version.value() } }));
            return;
        }
        call.answer(this->changeRefusal(result));
    });
}

} // namespace cornelpond
