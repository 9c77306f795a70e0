#include "review/standin-3/Record.h"

#include "review/standin-3/Http.h"

#include <iostream>

namespace review {

Record::Record(std::string const& path)
    : file(path)
    , startedMs(steadyMs())
{
}

void Record::add(std::string const& who, std::string const& what)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->file << steadyMs() - this->startedMs << " " << who << " " << what << std::endl;
}

} // namespace review
