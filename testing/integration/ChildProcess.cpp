#include "testing/integration/ChildProcess.h"

#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ; // NOLINT(readability-redundant-declaration)

namespace cornelpond {

namespace {

    std::string readAll(std::string const& path)
    {
        std::ifstream in(path, std::ios::binary);
        return { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
    }

} // namespace

ChildProcess::ChildProcess(std::vector<std::string> const& command, std::string const& outputBase, Input input)
    : outputBase(outputBase)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (auto const& word : command)
        arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    int const flags = O_WRONLY | O_CREAT | O_APPEND;
    int ends[2] = { -1, -1 };
    if (input == Input::Lines) {
        // A write to a program that has exited must fail with EPIPE instead of terminating the test by SIGPIPE.
        std::signal(SIGPIPE, SIG_IGN);
        if (pipe2(ends, O_CLOEXEC))
            throw std::runtime_error("cannot open a pipe");
        posix_spawn_file_actions_adddup2(&actions, ends[0], STDIN_FILENO);
        this->inputPipe = ends[1];
    } else {
        posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    }
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, (outputBase + ".out").c_str(), flags, 0600);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, (outputBase + ".err").c_str(), flags, 0600);
    int const error = posix_spawn(&this->processId, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ends[0] >= 0)
        close(ends[0]);
    if (error)
        throw std::runtime_error("cannot start " + command.front());
}

ChildProcess::~ChildProcess()
{
    if (this->processId > 0)
        this->kill();
    if (this->inputPipe >= 0)
        close(this->inputPipe);
}

void ChildProcess::sendSignal(int number) const
{
    if (this->processId > 0)
        ::kill(this->processId, number);
}

void ChildProcess::kill()
{
    this->sendSignal(SIGKILL);
    this->waitForExit();
}

int ChildProcess::waitForExit()
{
    if (this->processId > 0)
        waitpid(this->processId, &this->waitStatus, 0);
    this->processId = -1;
    return WIFEXITED(this->waitStatus) ? WEXITSTATUS(this->waitStatus) : -WTERMSIG(this->waitStatus);
}

bool ChildProcess::hasExited()
{
    if (this->processId > 0 && waitpid(this->processId, &this->waitStatus, WNOHANG) == this->processId)
        this->processId = -1;
    return this->processId < 0;
}

std::string ChildProcess::output() const
{
    return readAll(this->outputBase + ".out") + readAll(this->outputBase + ".err");
}

void ChildProcess::waitForOutput(std::string const& text) const
{
    waitUntil("'" + text + "' in " + this->outputBase, [&] { return this->output().find(text) != std::string::npos; });
}

std::string ChildProcess::waitForWordAfter(std::string const& prefix) const
{
    this->waitForOutput(prefix);
    std::string const text = this->output();
    size_t const start = text.find(prefix) + prefix.size();
    return text.substr(start, text.find_first_of(" \n", start) - start);
}

void ChildProcess::sendCommand(std::string const& line)
{
    std::string const bytes = line + "\n";
    if (write(this->inputPipe, bytes.data(), bytes.size()) != static_cast<ssize_t>(bytes.size()))
        throw std::runtime_error("cannot write to " + this->outputBase);
    this->waitForOutput("done " + std::to_string(++this->sentCommandCount) + "\n");
}

int runProgram(std::vector<std::string> const& command, std::string const& outputBase, std::string& output)
{
    ChildProcess process(command, outputBase);
    int const code = process.waitForExit();
    output = process.output();
    std::remove((outputBase + ".out").c_str());
    std::remove((outputBase + ".err").c_str());
    return code;
}

} // namespace cornelpond
