#include "review/standin/Record.h"

#include <iomanip>

namespace review {

Record::Record(std::string const& path)
    : file(path, std::ios::trunc)
{
}

int64_t Record::nowMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - this->started).count();
}

void Record::line(std::string const& text)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->file << std::setw(6) << this->nowMs() << " ms  " << text << '\n'
               << std::flush;
}

size_t Record::addRun(Run run)
{
    run.startedMs = this->nowMs();
    this->line("run starts: " + run.task + " run " + std::to_string(run.number) + " on " + run.executor + " (kind " + run.label + ", born " + std::to_string(run.bornMs) + ")");
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->allRuns.push_back(std::move(run));
    return this->allRuns.size() - 1;
}

void Record::endRun(size_t index, std::string const& how)
{
    std::string text;
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        Run& run = this->allRuns[index];
        run.endedMs = this->nowMs();
        run.how = how;
        text = "run ends: " + run.task + " run " + std::to_string(run.number) + " on " + run.executor + ": " + how;
    }
    this->line(text);
}

std::vector<Run> Record::runs() const
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    return this->allRuns;
}

std::vector<Run> Record::runsOf(std::string const& job) const
{
    std::vector<Run> found;
    for (auto const& run : this->runs()) {
        if (run.task.compare(0, job.size() + 1, job + ".") == 0)
            found.push_back(run);
    }
    return found;
}

} // namespace review
