#ifndef POLLENHAVEN_SERVERS_DAEMON_HPP
#define POLLENHAVEN_SERVERS_DAEMON_HPP

#include "servers/daemon_settings.hpp"

#include <memory>

namespace pollenhaven
{

// One pollenhaven daemon: all duties wired together.
class daemon
{
public:
    // Starts everything. Throws std::runtime_error if an address can't be bound, and
    // std::invalid_argument if a module named in the settings doesn't exist.
    explicit daemon(const daemon_settings& settings);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    // A planned stop: takes no new work, lets all requests in progress end, hands the
    // endpoints over and leaves the members. Blocks until done.
    void stop_gracefully();

private:
    class duties;
    std::unique_ptr<duties> duties_;
};

} // namespace pollenhaven

#endif
