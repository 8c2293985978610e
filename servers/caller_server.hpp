#ifndef POLLENHAVEN_SERVERS_CALLER_SERVER_HPP
#define POLLENHAVEN_SERVERS_CALLER_SERVER_HPP

#include "servers/daemon_context.hpp"
#include "servers/entry_router.hpp"

#include <atomic>
#include <memory>
#include <thread>

namespace pollenhaven
{

// The HTTP side towards callers and operators.
class caller_server
{
public:
    // Listens at once. Throws std::runtime_error if the address can't be bound.
    caller_server(daemon_context& context, entry_router& router);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    // Refuses new work, naming another address, while requests in progress go on.
    void refuse_new_work();
    int requests_in_progress() const { return in_progress_; }

private:
    class routes;

    daemon_context& context_;
    entry_router& router_;
    std::atomic<int> in_progress_{0};
    std::atomic<bool> refusing_{false};
    std::unique_ptr<routes> routes_;
    std::thread thread_;
};

} // namespace pollenhaven

#endif
