#pragma once

// What the HTTP APIs share: routes to handlers, and refusals as JSON bodies with a result code.
//
// Example:
//   ApiRouter router;
//   router.add("GET", "/v1/tasks/*", [&](ApiCall call) { call.answer(jsonResponse(200, toJson(task))); });
//   router.handle(request, answer);

#include "cornelpond/adapters/http/HttpTypes.h"
#include "cornelpond/core/base/ConstantTime.h"
#include "cornelpond/core/base/Json.h"
#include "cornelpond/core/base/ResultCode.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <vector>

namespace cornelpond {

using ApiAnswerCallback = std::function<void(HttpResponse const&)>;

/// A JSON response.
HttpResponse jsonResponse(int status, nlohmann::json const& body);

/// {"code", "name", "message"} with the code's HTTP status.
HttpResponse refusal(ResultCode code, std::string const& message);

/// One request to a matched route.
struct ApiCall {
    HttpRequest request;
    std::string wildcardMatch; ///< What '*' matched, percent-decoded.
    ApiAnswerCallback answer;

    /// The decoded value of a query parameter, or an empty string.
    std::string parameter(std::string_view name) const;

    /// Throws Error for a body that is not JSON or exceeds the limits.
    nlohmann::json body(JsonLimits const& limits) const;
};

/// The string member `key` of a request body. Throws Error(SchemaViolation).
std::string stringAt(nlohmann::json const& body, std::string const& key);

class ApiRouter {
public:
    using Handler = std::function<void(ApiCall const& call)>;

    /// `pattern` is a path, or a prefix that ends in "/*".
    void add(std::string method, std::string pattern, Handler handler);

    /// Answers NotFound or MethodNotAllowed when no route matches, and with the code and message of an Error
    /// that a handler throws.
    void handle(HttpRequest const& request, ApiAnswerCallback const& answer) const;

private:
    struct Route {
        std::string method;
        std::string pattern;
        Handler handler;
    };

    std::vector<Route> routes;
};

/// Decodes %XX and '+'. Malformed escapes stay as they are.
std::string percentDecode(std::string_view text);
std::string percentEncode(std::string_view text);

} // namespace cornelpond
