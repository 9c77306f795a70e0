#include "cornelpond/app/Api.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cctype>

namespace cornelpond {

namespace {

    bool matchPattern(std::string const& pattern, std::string const& path, std::string& wildcardMatch)
    {
        if (pattern.size() < 2 || pattern.substr(pattern.size() - 2) != "/*")
            return pattern == path;
        std::string const prefix = pattern.substr(0, pattern.size() - 1);
        if (path.size() <= prefix.size() || path.compare(0, prefix.size(), prefix) != 0)
            return false;
        wildcardMatch = percentDecode(path.substr(prefix.size()));
        return true;
    }

    int hexDigit(char byte)
    {
        if (byte >= '0' && byte <= '9')
            return byte - '0';
        int const lower = std::tolower(static_cast<unsigned char>(byte));
        return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
    }

} // namespace

HttpResponse jsonResponse(int status, nlohmann::json const& body)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

HttpResponse refusal(ResultCode code, std::string const& message)
{
    auto const& info = resultCodeInfo(code);
    return jsonResponse(info.httpStatus, { { "code", static_cast<int>(code) }, { "name", std::string(info.name) }, { "message", message } });
}

std::string ApiCall::parameter(std::string_view name) const
{
    std::string_view rest = this->request.query;
    while (!rest.empty()) {
        size_t const end = std::min(rest.find('&'), rest.size());
        std::string_view const pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        size_t const equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string() : percentDecode(pair.substr(equals + 1));
    }
    return std::string();
}

nlohmann::json ApiCall::body(JsonLimits const& limits) const
{
    return parseJson(this->request.body, limits);
}

std::string stringAt(nlohmann::json const& body, std::string const& key)
{
    if (!body.is_object() || !body.contains(key) || !body[key].is_string())
        throw Error(ResultCode::SchemaViolation, "/" + key + ": expected a string");
    return body[key].get<std::string>();
}

void ApiRouter::add(std::string method, std::string pattern, Handler handler)
{
    this->routes.push_back({ std::move(method), std::move(pattern), std::move(handler) });
}

void ApiRouter::handle(HttpRequest const& request, ApiAnswerCallback const& answer) const
{
    bool isPathKnown = false;
    for (auto const& route : this->routes) {
        ApiCall call;
        if (!matchPattern(route.pattern, request.path, call.wildcardMatch))
            continue;
        isPathKnown = true;
        if (route.method != request.method)
            continue;
        call.request = request;
        call.answer = answer;
        try {
            route.handler(call);
        } catch (Error const& error) {
            answer(refusal(error.code(), error.what()));
        }
        return;
    }
    answer(isPathKnown ? refusal(ResultCode::MethodNotAllowed, "the path does not support method " + request.method) : refusal(ResultCode::NotFound, "no such path"));
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); i++) {
        int const high = i + 2 < text.size() ? hexDigit(text[i + 1]) : -1;
        int const low = i + 2 < text.size() ? hexDigit(text[i + 2]) : -1;
        if (text[i] == '%' && high >= 0 && low >= 0) {
            decoded += static_cast<char>(high * 16 + low);
            i += 2;
        } else {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    for (char const byte : text) {
        auto const code = static_cast<unsigned char>(byte);
        if (std::isalnum(code) || byte == '-' || byte == '.' || byte == '_' || byte == '~')
            encoded += byte;
        else
            encoded += fmt::format("%{:02X}", code);
    }
    return encoded;
}

} // namespace cornelpond
