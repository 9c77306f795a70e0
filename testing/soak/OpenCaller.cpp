#include "testing/soak/OpenCaller.h"

#include <fmt/format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cornelpond {

namespace {

    constexpr Duration requestInterval = Duration::milliseconds(20);
    constexpr Duration reconnectDelay = Duration::milliseconds(200);
    constexpr std::string_view statusLineStart = "HTTP/1.1 ";
    constexpr std::string_view headEnd = "\r\n\r\n";
    constexpr std::string_view lengthField = "content-length:";

    /// The value of Content-Length; false if the head has none.
    bool readLength(std::string_view head, size_t& length)
    {
        for (size_t line = head.find("\r\n"); line != std::string_view::npos; line = head.find("\r\n", line + 2)) {
            std::string_view field = head.substr(line + 2);
            if (!HttpHeaders::equalName(field.substr(0, lengthField.size()), lengthField))
                continue;
            field.remove_prefix(std::min(field.find_first_not_of(' ', lengthField.size()), field.size()));
            return std::from_chars(field.data(), field.data() + field.size(), length).ec == std::errc();
        }
        return false;
    }

} // namespace

OpenCaller::OpenCaller(Clock& clock, Address address, std::function<Call()> nextCall, std::function<void(std::string const&)> onViolation)
    : clock(clock)
    , address(std::move(address))
    , nextCall(std::move(nextCall))
    , onViolation(std::move(onViolation))
{
}

OpenCaller::~OpenCaller()
{
    this->disconnect();
}

void OpenCaller::step()
{
    if (this->descriptor >= 0)
        this->receive();
    if (this->isWaiting || this->clock.now() < this->nextAction)
        return;
    if (this->descriptor < 0)
        this->connect();
    else
        this->sendNext();
}

void OpenCaller::connect()
{
    this->nextAction = this->clock.now() + reconnectDelay;
    this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(this->address.port);
    inet_pton(AF_INET, this->address.ip.c_str(), &to.sin_addr);
    // On loopback a connection is made or refused at once, unless the server's backlog is full.
    if (::connect(this->descriptor, reinterpret_cast<sockaddr const*>(&to), sizeof to) < 0)
        this->disconnect();
}

void OpenCaller::disconnect()
{
    if (this->descriptor >= 0)
        close(this->descriptor);
    this->descriptor = -1;
    this->isWaiting = false;
    this->received.clear();
}

void OpenCaller::sendNext()
{
    this->call = this->nextCall();
    std::string const request = fmt::format("{} {} HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: 1000\r\n\r\n", this->call.method, this->call.path);
    this->nextAction = this->clock.now() + requestInterval;
    if (::send(this->descriptor, request.data(), request.size(), MSG_NOSIGNAL | MSG_DONTWAIT) == static_cast<ssize_t>(request.size()))
        this->isWaiting = true;
    else
        this->disconnect();
}

void OpenCaller::receive()
{
    std::array<char, 4096> buffer {};
    ssize_t const count = ::recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count > 0) {
        this->received.append(buffer.data(), static_cast<size_t>(count));
        while (this->takeResponse()) { }
        return;
    }
    if (count < 0 && errno == EAGAIN)
        return;
    if (!this->received.empty())
        this->onViolation(fmt::format("{} cut a response off: '{}'", this->address.text(), this->received));
    this->disconnect();
}

/// Takes a complete response out of the received bytes; false if there is none yet.
bool OpenCaller::takeResponse()
{
    size_t const head = this->received.find(headEnd);
    if (head == std::string::npos)
        return false;
    size_t length = 0;
    if (!this->isWaiting) {
        this->onViolation(fmt::format("{} sent a response without a request: '{}'", this->address.text(), this->received));
        this->disconnect();
        return false;
    }
    bool const isValid = this->received.rfind(statusLineStart, 0) == 0 && readLength(std::string_view(this->received).substr(0, head), length);
    if (!isValid) {
        this->onViolation(fmt::format("{} sent a malformed response: '{}'", this->address.text(), this->received));
        this->disconnect();
        return false;
    }
    if (this->received.size() < head + headEnd.size() + length)
        return false;
    int status = 0;
    std::from_chars(this->received.data() + statusLineStart.size(), this->received.data() + head, status);
    this->received.erase(0, head + headEnd.size() + length);
    this->isWaiting = false;
    this->answered++;
    if (this->call.onAnswered)
        this->call.onAnswered(status);
    return !this->received.empty();
}

} // namespace cornelpond
