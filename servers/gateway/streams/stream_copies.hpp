#ifndef POLLENHAVEN_SERVERS_GATEWAY_STREAMS_STREAM_COPIES_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_STREAMS_STREAM_COPIES_HPP

#include "policy/fleet/stream_copies.hpp"
#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pollenhaven
{

// Sends copies of the records of this daemon's streams to peers, and keeps those of
// theirs (policy/fleet/stream_copies.hpp).
class stream_copies
{
public:
    using send_function = std::function<void(const daemon_id&, const fleet_message&)>;

    stream_copies(gateway_context& context, send_function send);

    // Sends a copy, in place of an earlier one of this stream. `confirmed` may be null;
    // it is called once a peer has the copy, or if no member can hold one, and not at all
    // if no peer confirms the copy.
    void copy(const stream_key& stream, const software_version& version,
              std::function<void()> confirmed);
    // Sends the copy of a stream no more.
    void withdraw(const stream_key& stream);
    // For how long no member has confirmed a copy that waits for it; zero if none does.
    milliseconds silence() const;

    void on_copies(const stream_copies_message& message);
    void on_receipt(const stream_copies_receipt& message);
    // The copy that this daemon holds of a peer's stream; none if it holds none.
    std::optional<stream_copy> find(const stream_key& stream) const;
    // Takes the copies of writers that have lost their lease or have started again, each
    // copy once in an era of the store.
    std::map<stream_key, software_version> take_copies_of_lost_writers();
    // Forgets the copies of streams that have ended. Must be called periodically.
    void remove_ended_streams();

private:
    struct outgoing_copy
    {
        copy_number number;
        software_version version;
        instant began;
        instant due;
        // How many times it was sent.
        std::size_t rounds = 0;
        std::set<daemon_id> holders;
        std::function<void()> confirmed;
    };
    struct held_copy
    {
        stream_copy copy;
        instant received;
        // The era of the store in which it was taken.
        store_era taken_in;
    };

    void schedule_sending(instant due);
    void send_due_copies();
    void send_copies(const daemon_id& holder, const std::vector<sent_copy>& copies);
    bool is_writer_lost(const stream_copy& copy) const;

    gateway_context& context_;
    send_function send_;
    std::map<stream_key, outgoing_copy> outgoing_;
    std::map<stream_key, held_copy> held_;
    std::uint64_t last_number_ = 0;
    timer_id sending_timer_;
    // When copies are sent next; none if none wait.
    std::optional<instant> next_sending_;
    instant last_sent_{};
    // When the first copy was sent since a peer last confirmed one; none if none was.
    std::optional<instant> unconfirmed_since_;
};

} // namespace pollenhaven

#endif
