#pragma once

// A caller that keeps sending requests on one open connection until the server ends it, whatever the responses say
// about closing. It then connects again.
//
// Example:
//   OpenCaller caller(loop, address, [] { return OpenCaller::Call { "GET", "/jobs/1", nullptr }; }, [](std::string const& text) { report(text); });
//   caller.step(); // every few milliseconds

#include "cornelpond/adapters/http/HttpTypes.h"
#include "cornelpond/ports/Clock.h"

#include <functional>
#include <string>

namespace cornelpond {

class OpenCaller {
public:
    struct Call {
        std::string method;
        std::string path;
        std::function<void(int status)> onAnswered; ///< May be empty; not called if the connection ends before the answer.
    };

    /// `nextCall` returns what is to be sent next; `onViolation` is called for a response that is cut off or malformed.
    OpenCaller(Clock& clock, Address address, std::function<Call()> nextCall, std::function<void(std::string const&)> onViolation);
    ~OpenCaller();
    OpenCaller(OpenCaller const&) = delete;
    OpenCaller& operator=(OpenCaller const&) = delete;

    void step();

    size_t answeredCount() const { return this->answered; }

private:
    void connect();
    void disconnect();
    void sendNext();
    void receive();
    bool takeResponse();

    Clock& clock;
    Address address;
    std::function<Call()> nextCall;
    std::function<void(std::string const&)> onViolation;
    int descriptor = -1; ///< -1 while not connected.
    bool isWaiting = false; ///< A request has no complete response yet.
    Call call; ///< The request that was sent last.
    std::string received;
    TimePoint nextAction;
    size_t answered = 0;
};

} // namespace cornelpond
