#include "cornelpond/core/membership/HostReport.h"

#include "cornelpond/core/base/Json.h"
#include "cornelpond/core/base/ResultCode.h"

#include <nlohmann/json.hpp>

namespace cornelpond {

namespace {

    constexpr unsigned leavingFlag = 1;
    constexpr unsigned diskFlag = 2;
    constexpr unsigned configurationFlag = 4;

} // namespace

std::string encodeHostReport(HostReport const& report)
{
    unsigned const flags = (report.isLeaving ? leavingFlag : 0) | (report.hasDisk ? diskFlag : 0) | (report.hasConfiguration ? configurationFlag : 0);
    nlohmann::json fields = { report.incarnation, flags, report.configVersion.value() };
    for (auto const& led : report.ledGroups) {
        fields.push_back(led.group.value());
        fields.push_back(led.term.value());
    }
    return toCbor(fields);
}

HostReport decodeHostReport(std::string_view payload)
{
    try {
        nlohmann::json const fields = fromCbor(payload);
        uint64_t const flags = wholeNumber(fields.at(1));
        HostReport report;
        report.incarnation = wholeNumber(fields.at(0));
        report.isLeaving = flags & leavingFlag;
        report.hasDisk = flags & diskFlag;
        report.hasConfiguration = flags & configurationFlag;
        report.configVersion = ConfigVersion(wholeNumber(fields.at(2)));
        for (size_t i = 3; i < fields.size(); i += 2)
            report.ledGroups.push_back({ GroupId(fields[i].get<std::string>()), Term(wholeNumber(fields.at(i + 1))) });
        return report;
    } catch (nlohmann::json::exception const& error) {
        throw Error(ResultCode::MalformedJson, std::string("host report: ") + error.what());
    }
}

} // namespace cornelpond
