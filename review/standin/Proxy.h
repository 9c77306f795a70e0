#pragma once

// A link between two processes that can be cut: while it is, nothing passes in either direction, and nobody is told.
//
// Example:
//   Proxy link(listenAddress, target);
//   link.setCut(true);

#include "review/standin/Http.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace review {

class Proxy {
public:
    Proxy(std::string const& ip, uint16_t port, Endpoint target);
    ~Proxy();
    Proxy(Proxy const&) = delete;
    Proxy& operator=(Proxy const&) = delete;

    void setCut(bool cut) { this->isCut = cut; }
    uint16_t port() const { return this->boundPort; }

private:
    void acceptAll();
    void forward(int client);

    Endpoint target;
    int listener;
    uint16_t boundPort;
    std::atomic<bool> isCut { false };
    std::atomic<bool> isClosing { false };
    std::mutex mutex;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

} // namespace review
