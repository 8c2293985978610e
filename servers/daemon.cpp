#include "servers/daemon.hpp"

#include "core/log.hpp"
#include "core/random_id.hpp"
#include "servers/caller_server.hpp"
#include "servers/claim_duty.hpp"
#include "servers/config_duty.hpp"
#include "servers/entry_router.hpp"
#include "servers/gossip_duty.hpp"
#include "servers/membership_duty.hpp"
#include "servers/owner_duty.hpp"
#include "servers/peer_transport.hpp"
#include "servers/store_duty.hpp"

#include <thread>

namespace pollenhaven
{

namespace
{

constexpr std::size_t incarnation_bytes = 8;
// Callers hold an address for a while, so work that reaches a leaving daemon is taken for
// this long after the others have learned that it leaves.
constexpr milliseconds leaving_grace{1500};
constexpr milliseconds poll_interval{50};
// How long a stop waits for its endpoints to be handed over, for example in an outage.
constexpr seconds handover_patience{10};
constexpr int renewal_threads = 2;

} // namespace

class daemon::duties
{
public:
    explicit duties(const daemon_settings& settings)
        : context_(settings, {random_hex(incarnation_bytes)}),
          transport_(settings.peer_address, transport_callbacks()),
          store_(context_, transport_), claims_(context_),
          owner_(context_, store_, claims_, [this] { tell_peers(); }),
          gossip_(context_, transport_, owner_), renewals_(renewal_threads),
          membership_(context_, transport_, [this] { return owner_.idle_endpoints(); }),
          config_(context_), router_{context_, transport_, owner_, {}, {}},
          callers_(context_, router_)
    {
        ready_ = true;
        log_line(log_level::info, "daemon started",
                 {{"incarnation", context_.incarnation.value},
                  {"caller_address", settings.caller_address.value},
                  {"peer_address", settings.peer_address.value}});
    }

    ~duties()
    {
        context_.stopping = true;
        ready_ = false;
        transport_.stop();
    }

    duties(const duties&) = delete;
    duties& operator=(const duties&) = delete;

    void stop_gracefully()
    {
        log_line(log_level::info, "planned stop begins");
        context_.cluster.update([](cluster_snapshot& known)
                                { known.self_leaving = true; });
        gossip_.send_soon();
        std::this_thread::sleep_for(leaving_grace);
        callers_.refuse_new_work();
        while (callers_.requests_in_progress() > 0 || owner_.open_requests() > 0)
            std::this_thread::sleep_for(poll_interval);
        wait_for_handover();
        membership_.deregister();
        log_line(log_level::info, "planned stop ends");
    }

private:
    peer_transport::callbacks transport_callbacks()
    {
        peer_transport::callbacks table;
        table.on_call = [this](peer_stream_id stream, const std::string& path,
                               const std::string& message)
        { answer(stream, path, message); };
        table.on_cancelled = [this](peer_stream_id stream, bool connection_lost)
        { cancelled(stream, connection_lost); };
        return table;
    }

    void tell_peers()
    {
        if (ready_)
            gossip_.send_soon();
    }

    void answer(peer_stream_id stream, const std::string& path,
                const std::string& message)
    {
        if (!ready_)
        {
            transport_.reply(stream, "", true);
            return;
        }
        try
        {
            answer_call(stream, path, message);
        }
        catch (const std::runtime_error& error)
        {
            log_line(log_level::warning, "a peer's call can't be answered",
                     {{"path", path}, {"error", error.what()}});
            transport_.reply(stream, "", true);
        }
    }

    void answer_call(peer_stream_id stream, const std::string& path,
                     const std::string& message)
    {
        if (path == execute_path)
            execute(stream, decode_execute_request(message));
        else if (path == gossip_path)
            transport_.reply(
                stream, encode(gossip_.answer(decode_gossip_message(message))), true);
        else if (path == renew_path)
            renew(stream, decode_renew_request(message));
        else if (path == permit_path)
            store_.ask_for_peer(decode_permit_message(message), stream);
        else if (path == load_ended_path)
        {
            store_.end_for_peer(decode_permit_message(message).id);
            transport_.reply(stream, "", true);
        }
        else
            throw message_error("unknown path '" + path + "'");
    }

    void execute(peer_stream_id stream, const execute_request& request)
    {
        {
            const std::lock_guard lock(executing_mutex_);
            executing_[stream] = request.id;
        }
        owner_.submit(request,
                      [this, stream](const execute_event& event)
                      {
                          if (event.final)
                              forget(stream);
                          transport_.reply(stream, encode(event), event.final);
                          return true;
                      });
    }

    void renew(peer_stream_id stream, const renew_request& request)
    {
        // Blocks for a call to the key-value service, so not on the transport's thread.
        const bool queued = renewals_.run(
            [this, stream, request] {
                transport_.reply(stream, encode(membership_.renew_for_peer(request)),
                                 true);
            });
        if (!queued)
            transport_.reply(stream, "", true);
    }

    void cancelled(peer_stream_id stream, bool connection_lost)
    {
        if (!ready_)
            return;
        store_.peer_cancelled(stream);
        request_id request;
        {
            const std::lock_guard lock(executing_mutex_);
            const auto found = executing_.find(stream);
            if (found == executing_.end())
                return;
            request = found->second;
            executing_.erase(found);
        }
        if (connection_lost)
            owner_.receiver_lost(request);
        else
            owner_.cancel(request);
    }

    void forget(peer_stream_id stream)
    {
        const std::lock_guard lock(executing_mutex_);
        executing_.erase(stream);
    }

    bool owns_anything() const
    {
        for (const auto& [endpoint, record] :
             context_.cluster.snapshot()->ownership.endpoints)
        {
            if (record.owner == context_.settings.id &&
                record.incarnation == context_.incarnation)
                return true;
        }
        return false;
    }

    void wait_for_handover()
    {
        const instant patience_ends = boot_clock::now() + handover_patience;
        while (owns_anything() && boot_clock::now() < patience_ends)
            std::this_thread::sleep_for(poll_interval);
    }

    std::atomic<bool> ready_{false};
    std::mutex executing_mutex_;
    std::map<peer_stream_id, request_id> executing_;
    daemon_context context_;
    peer_transport transport_;
    store_duty store_;
    claim_duty claims_;
    owner_duty owner_;
    gossip_duty gossip_;
    job_pool renewals_;
    membership_duty membership_;
    config_duty config_;
    entry_router router_;
    caller_server callers_;
};

daemon::daemon(const daemon_settings& settings)
    : duties_(std::make_unique<duties>(settings))
{
}

daemon::~daemon() = default;

void daemon::stop_gracefully()
{
    duties_->stop_gracefully();
}

} // namespace pollenhaven
