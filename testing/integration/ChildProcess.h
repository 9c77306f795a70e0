#pragma once

// A child process of a test, with its output in files. The test can send it signals and commands and wait for its exit.
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
        Lines, ///< The program takes commands by `sendCommand`.
    };

    /// Standard output and error go to `outputBase` + ".out" and ".err".
    ChildProcess(std::vector<std::string> const& command, std::string const& outputBase, Input input = Input::None);
    ~ChildProcess(); ///< Kills the process if it is still running.
    ChildProcess(ChildProcess const&) = delete;
    ChildProcess& operator=(ChildProcess const&) = delete;

    void sendSignal(int number) const;

    /// Sends SIGKILL and waits for the exit.
    void kill();

    /// Waits for the exit and returns the exit code; the negative number of the signal when one terminated the process.
    int waitForExit();

    /// True once the process has exited or a signal terminated it; does not wait.
    bool hasExited();

    /// Waits until standard output or error contains the text. Throws after 60 s.
    void waitForOutput(std::string const& text) const;

    /// Waits until the output contains `prefix` and returns the word that follows it.
    std::string waitForWordAfter(std::string const& prefix) const;

    /// Writes the line to the program's standard input and waits until its output contains "done N" for the Nth line.
    /// Precondition: started with Input::Lines.
    void sendCommand(std::string const& line);

    std::string output() const; ///< Standard output followed by standard error.
    int pid() const { return this->processId; }

private:
    std::string outputBase;
    int processId = -1;
    int waitStatus = 0; ///< From waitpid.
    int inputPipe = -1; ///< -1 for none.
    int sentCommandCount = 0;
};

/// Waits until the condition holds. Throws after 60 s; the timeout only ends a hung test and asserts no speed.
template <typename Condition>
void waitUntil(std::string const& what, Condition condition);

/// Runs a program until it exits; returns the exit code and sets `output` to standard output followed by standard error.
int runProgram(std::vector<std::string> const& command, std::string const& outputBase, std::string& output);

} // namespace cornelpond

#include <chrono>
#include <stdexcept>
#include <thread>

namespace cornelpond {

template <typename Condition>
void waitUntil(std::string const& what, Condition condition)
{
    auto const deadline = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            throw std::runtime_error("timed out waiting for " + what);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

} // namespace cornelpond
