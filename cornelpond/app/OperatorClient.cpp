#include "cornelpond/app/OperatorClient.h"

#include "cornelpond/core/base/Json.h"

#include <nlohmann/json.hpp>

namespace cornelpond {

namespace {

    [[noreturn]] void throwRefusal(int status, nlohmann::json const& body)
    {
        bool const hasCode = body.is_object() && body.contains("code") && body["code"].is_number_integer();
        if (!hasCode)
            throw Error(ResultCode::Internal, "the server answered with status " + std::to_string(status));
        auto const code = static_cast<ResultCode>(body["code"].get<int>());
        throw Error(code, body.value("message", std::string("refused")));
    }

} // namespace

OperatorClient::OperatorClient(Address server, std::string token, Duration timeout)
    : client(this->loop, HttpClientLimits())
    , server(std::move(server))
    , token(std::move(token))
    , timeout(timeout)
{
}

nlohmann::json OperatorClient::call(std::string const& method, std::string const& target, std::string const& body)
{
    HttpRequest request;
    request.method = method;
    size_t const question = target.find('?');
    request.path = target.substr(0, question);
    if (question != std::string::npos)
        request.query = target.substr(question + 1);
    if (!this->token.empty())
        request.headers.add("Authorization", "Bearer " + this->token);
    request.body = body;
    HttpSendOptions options;
    options.timeout = this->timeout;
    HttpOutcome result;
    this->client.send(this->server, request, options, [&](HttpOutcome const& outcome) {
        result = outcome;
        this->loop.stop();
    });
    this->loop.run();
    if (result.kind != HttpOutcome::Kind::Answered)
        throw Error(ResultCode::Unreachable, "no answer from " + this->server.text());
    nlohmann::json answer = parseJson(result.response.body, JsonLimits { 256 * 1024 * 1024, 64 });
    if (result.response.status != 200)
        throwRefusal(result.response.status, answer);
    return answer;
}

void OperatorClient::sleep(Duration span)
{
    this->loop.after(span, [this] { this->loop.stop(); });
    this->loop.run();
}

} // namespace cornelpond
