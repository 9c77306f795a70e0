#include "cornelpond/app/ForwardedHeaders.h"

#include <algorithm>
#include <array>

namespace cornelpond {

namespace {

    constexpr std::array<std::string_view, 10> hopByHopNames = {
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
    };

    std::string_view trim(std::string_view text)
    {
        size_t const first = text.find_first_not_of(" \t");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    /// The field names listed in all Connection fields.
    std::vector<std::string_view> namedByConnection(HttpHeaders const& headers)
    {
        std::vector<std::string_view> names;
        for (auto const& field : headers.all()) {
            if (!HttpHeaders::equalName(field.name, "Connection"))
                continue;
            std::string_view rest = field.value;
            while (!rest.empty()) {
                size_t const comma = std::min(rest.find(','), rest.size());
                names.push_back(trim(rest.substr(0, comma)));
                rest.remove_prefix(std::min(comma + 1, rest.size()));
            }
        }
        return names;
    }

    template <typename Names>
    bool contains(Names const& names, std::string_view name)
    {
        return std::any_of(names.begin(), names.end(), [&](std::string_view known) { return HttpHeaders::equalName(known, name); });
    }

} // namespace

HttpHeaders endToEndHeaders(HttpHeaders const& headers)
{
    std::vector<std::string_view> const named = namedByConnection(headers);
    HttpHeaders kept;
    for (auto const& field : headers.all()) {
        if (!contains(hopByHopNames, field.name) && !contains(named, field.name))
            kept.add(field.name, field.value);
    }
    return kept;
}

} // namespace cornelpond
