#include "cornelpond/app/CommandPusher.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace cornelpond {

namespace {

    constexpr Duration pushTimeout = Duration::seconds(1);

} // namespace

void CommandPusher::push(LeasedWorker const& worker, AnnouncementAnswer const& commands)
{
    std::string const& text = worker.lastAnnouncement.commandAddress;
    size_t const colon = text.rfind(':');
    uint16_t port = 0;
    if (colon == std::string::npos || std::from_chars(text.data() + colon + 1, text.data() + text.size(), port).ec != std::errc())
        return;
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/commands";
    request.body = toJson(commands).dump();
    HttpSendOptions options;
    options.timeout = pushTimeout;
    // A lost push is repeated by the answer to the worker's next announcement.
    this->client.send({ text.substr(0, colon), port }, request, options, [](HttpOutcome const&) {});
}

} // namespace cornelpond
