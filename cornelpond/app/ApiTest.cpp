#include "cornelpond/app/Api.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

int codeOf(ApiRouter const& router, std::string const& method, std::string const& path)
{
    HttpRequest request;
    request.method = method;
    request.path = path;
    int code = -1;
    router.handle(request, [&](HttpResponse const& response) { code = nlohmann::json::parse(response.body)["code"].get<int>(); });
    return code;
}

} // namespace

TEST_CASE("routes match by method and pattern; a handler's error is answered with its code")
{
    ApiRouter router;
    std::string rest;
    router.add("GET", "/v1/tasks/*", [&](ApiCall const& call) {
        rest = call.wildcardMatch;
        call.answer(jsonResponse(200, { { "code", 0 } }));
    });
    router.add("POST", "/v1/fail", [](ApiCall const&) { throw Error(ResultCode::IdConflict, "taken"); });
    CHECK(codeOf(router, "GET", "/v1/tasks/a%2Fb") == 0);
    CHECK(rest == "a/b");
    CHECK(codeOf(router, "GET", "/v1/tasks/") == static_cast<int>(ResultCode::NotFound));
    CHECK(codeOf(router, "PUT", "/v1/tasks/a") == static_cast<int>(ResultCode::MethodNotAllowed));
    CHECK(codeOf(router, "POST", "/v1/fail") == static_cast<int>(ResultCode::IdConflict));
}

TEST_CASE("percent encoding is reversible")
{
    rc::prop("any text", [](std::string const& text) { RC_ASSERT(percentDecode(percentEncode(text)) == text); });
}

TEST_CASE("token comparison is exact")
{
    CHECK(constantTimeEqual("secret", "secret"));
    CHECK_FALSE(constantTimeEqual("secret", "secreT"));
    CHECK_FALSE(constantTimeEqual("secret", "secretsecret"));
    CHECK_FALSE(constantTimeEqual("secret", ""));
    CHECK(constantTimeEqual("", ""));
}
