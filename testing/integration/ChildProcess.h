#pragma once

// A program started by a test, with its output in files and its end under the test's control.
//
// Example:
//   ChildProcess host({ binary, "serve", "--default", folder }, folder + "/host");
//   host.waitForOutput("HostStarted");
//   host.kill(SIGKILL);

#include <csignal>
#include <string>
#include <vector>

namespace cornelpond {

class ChildProcess {
public:
    enum class Input {
        None,
        Lines, ///< The program takes commands by `say`.
    };

    /// Standard output and error go to `outputBase` + ".out" and ".err".
    ChildProcess(std::vector<std::string> const& command, std::string const& outputBase, Input input = Input::None);
    ~ChildProcess(); ///< Kills the process when it still runs.
    ChildProcess(ChildProcess const&) = delete;
    ChildProcess& operator=(ChildProcess const&) = delete;

    /// Sends the signal.
    void sendSignal(int number) const;

    /// Kills with SIGKILL and waits for the end.
    void kill();

    /// Waits for the end and returns the exit code; -1 when a signal ended it.
    int waitForExit();

    /// True once it has ended; does not wait.
    bool hasExited();

    /// Waits until the text stands in either output. Throws after a generous bound.
    void waitForOutput(std::string const& text) const;

    /// The word that follows `prefix` in the output, after waiting for it.
    std::string waitForWordAfter(std::string const& prefix) const;

    /// Writes the line to the program's standard input and waits until it says "done N" for the Nth line.
    /// Precondition: started with Input::Lines.
    void sendCommand(std::string const& line);

    std::string output() const; ///< Both files, standard output first.
    int pid() const { return this->processId; }

private:
    std::string outputBase;
    int processId = -1;
    int waitStatus = 0; ///< As waitpid gave it.
    int inputPipe = -1; ///< -1 for none.
    int sentCommandCount = 0;
};

/// Waits until the condition holds. Throws after a generous bound; the bound is no assertion on speed.
template <typename Condition>
void waitUntil(std::string const& what, Condition condition);

/// Runs a program to its end; returns the exit code and fills `output` with both streams.
int runProgram(std::vector<std::string> const& command, std::string const& outputBase, std::string& output);

} // namespace cornelpond

#include <chrono>
#include <stdexcept>
#include <thread>

namespace cornelpond {

template <typename Condition>
void waitUntil(std::string const& what, Condition condition)
{
    auto const bound = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > bound)
            throw std::runtime_error("gave up waiting for " + what);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

} // namespace cornelpond
