#ifndef POLLENHAVEN_SERVERS_GATEWAY_STREAMS_STREAM_SEARCHES_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_STREAMS_STREAM_SEARCHES_HPP

#include "policy/fleet/stream_copies.hpp"
#include "policy/fleet/stream_origin.hpp"
#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/store_client.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace pollenhaven
{

// Not below the prefix that all daemons watch: a record is read only when it is needed.
inline constexpr const char* stream_record_prefix = "pollenhaven-streams/";

// Returns the key of the stream that a request began.
stream_key key_of_stream(const request_id& stream);

// Returns the key of a stream's record in the store.
std::string stream_record_key(const stream_key& stream);

// Finds the versions that began streams from their records in the store and from what
// this daemon knows of the fleet (policy/fleet/stream_origin.hpp). If the store may have
// lost the record, all members are asked. Each search ends in bounded time, whether or
// not the store responds.
class stream_searches
{
public:
    using origin_handler = std::function<void(const stream_origin&)>;
    // Returns true if this daemon has all base versions that the store has.
    using loaded_check = std::function<bool()>;

    using send_function = std::function<void(const daemon_id&, const fleet_message&)>;

    // Returns what this daemon itself knows of a stream.
    using own_knowledge = std::function<stream_statement(const stream_key&)>;

    stream_searches(gateway_context& context, loaded_check is_loaded, send_function send,
                    own_knowledge own);

    // Finds the version that began a stream of the service. `done` is called once with
    // the result.
    void find(const request_id& stream, const service_id& service, origin_handler done);

    // Takes a member's answer to the question that a search sent.
    void on_statement(const stream_statement_message& message);

private:
    using search_id = strong_number<struct search_id_tag>;

    struct pending_search
    {
        request_id stream;
        service_id service;
        instant began;
        origin_handler done;
        stream_key key;
        // The result of the last read that the store answered.
        record_lookup lookup = record_lookup::unanswered;
        stream_answers answers;
    };

    // Reads the record of the next search that waits for it. There is one read at a time,
    // since a connection to the store carries one call.
    void read_next();
    void on_read(search_id id, const http_result& result);
    void read_again_later(search_id id);
    // Ends the searches that no longer depend on the store's answer, and those whose time
    // is over.
    void check_searches();
    stream_origin locate(const pending_search& search, record_lookup lookup,
                         const software_version& recorded) const;
    void finish(search_id id, const stream_origin& origin);
    // Adds what this daemon knows, and sends the question to each member that hasn't
    // answered it.
    void ask_members(pending_search& search);
    // True if a record that was written before may be missing in the restored store.
    bool is_store_in_doubt(const service_id& service) const;
    // True if the stream has no record if the store has none.
    bool is_conclusive(const pending_search& search) const;

    gateway_context& context_;
    loaded_check is_loaded_;
    send_function send_;
    own_knowledge own_;
    store_client client_;
    std::map<search_id, pending_search> searches_;
    std::uint64_t last_id_ = 0;
    // The searches whose records are to be read next. Some may have ended.
    std::deque<search_id> unread_;
    bool read_in_progress_ = false;
    bool check_scheduled_ = false;
};

} // namespace pollenhaven

#endif
