#pragma once

// Commands by lines on standard input, each acknowledged by "done N" on standard output, and the
// address syntax of the test programs' options.
//
// Example:
//   Console console(loop, [&](std::string const& line) { obey(line); }, [&] { loop.stop(); });

#include "cornelpond/adapters/http/HttpTypes.h"
#include "cornelpond/adapters/runtime/EventLoop.h"

#include <functional>
#include <string>

struct event;

namespace cornelpond {

class Console {
public:
    /// `onLine` gets each line without its end; `onEnd` is called once when the input ends.
    Console(EventLoop& loop, std::function<void(std::string const&)> onLine, std::function<void()> onEnd);
    ~Console();
    Console(Console const&) = delete;
    Console& operator=(Console const&) = delete;

private:
    static void onReadable(int input, short, void* argument);
    void read(int input);

    std::function<void(std::string const&)> onLine;
    std::function<void()> onEnd;
    event* reader;
    std::string pending;
    int linesDone = 0;
};

/// Reads "IP:PORT". Throws std::runtime_error.
Address parseAddress(std::string const& text);

} // namespace cornelpond
