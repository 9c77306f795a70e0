#pragma once

// Reads commands, one a line, from standard input and acknowledges each by "done N" on standard output. Also
// parses the addresses in the options of the test programs.
//
// Example:
//   Console console(loop, [&](std::string const& line) { execute(line); }, [&] { loop.stop(); });

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

/// Parses "IP:PORT". Throws std::runtime_error when the colon or the port number is missing.
Address parseAddress(std::string const& text);

} // namespace cornelpond
