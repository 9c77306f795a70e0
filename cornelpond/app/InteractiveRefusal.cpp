#include "cornelpond/app/InteractiveRefusal.h"

#include "cornelpond/app/Api.h"

#include <nlohmann/json.hpp>

namespace cornelpond {

HttpResponse interactiveRefusal(RouterRefusal const& refusal)
{
    auto const& info = resultCodeInfo(refusal.code);
    nlohmann::json body = { { "code", static_cast<int>(refusal.code) }, { "name", std::string(info.name) }, { "message", refusal.message } };
    body["ran"] = refusal.mayHaveRun ? "unknown" : "no";
    HttpResponse response = jsonResponse(info.httpStatus, body);
    int64_t const secondsRoundedUp = (refusal.retryAfter.toMilliseconds() + 999) / 1000;
    if (secondsRoundedUp > 0)
        response.headers.add("Retry-After", std::to_string(secondsRoundedUp));
    return response;
}

} // namespace cornelpond
