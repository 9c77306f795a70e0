#include "testing/faultproxy/Console.h"

#include <event2/event.h>

#include <charconv>
#include <cstdio>
#include <stdexcept>
#include <unistd.h>

namespace cornelpond {

Console::Console(EventLoop& loop, std::function<void(std::string const&)> onLine, std::function<void()> onEnd)
    : onLine(std::move(onLine))
    , onEnd(std::move(onEnd))
    , reader(event_new(loop.base(), STDIN_FILENO, EV_READ | EV_PERSIST, onReadable, this))
{
    // Regular files and /dev/null cannot be polled; such an input counts as ended.
    if (event_add(this->reader, nullptr) < 0)
        this->onEnd();
}

Console::~Console()
{
    event_free(this->reader);
}

void Console::onReadable(int input, short, void* argument)
{
    static_cast<Console*>(argument)->read(input);
}

void Console::read(int input)
{
    char buffer[4096];
    ssize_t const length = ::read(input, buffer, sizeof(buffer));
    if (length <= 0) {
        event_del(this->reader);
        this->onEnd();
        return;
    }
    this->pending.append(buffer, static_cast<size_t>(length));
    size_t end = 0;
    while ((end = this->pending.find('\n')) != std::string::npos) {
        std::string const line = this->pending.substr(0, end);
        this->pending.erase(0, end + 1);
        this->onLine(line);
        std::printf("done %d\n", ++this->linesDone);
        std::fflush(stdout);
    }
}

Address parseAddress(std::string const& text)
{
    size_t const colon = text.rfind(':');
    uint16_t port = 0;
    if (colon == std::string::npos || std::from_chars(text.data() + colon + 1, text.data() + text.size(), port).ec != std::errc())
        throw std::runtime_error("expected IP:PORT, got " + text);
    return { text.substr(0, colon), port };
}

} // namespace cornelpond
