#pragma once

// Sends commands to a worker ahead of its next announcement. A lost push is repeated by the answer to
// that announcement.

#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/core/lease/WorkerTable.h"

namespace cornelpond {

class CommandPusher {
public:
    /// `client` must outlive the pusher.
    explicit CommandPusher(HttpClient& client)
        : client(client)
    {
    }

    void push(LeasedWorker const& worker, AnnouncementAnswer const& commands);

private:
    HttpClient& client;
};

} // namespace cornelpond
