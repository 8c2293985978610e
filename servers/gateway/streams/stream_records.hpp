#ifndef POLLENHAVEN_SERVERS_GATEWAY_STREAMS_STREAM_RECORDS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_STREAMS_STREAM_RECORDS_HPP

#include "policy/fleet/stream_origin.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/store_client.hpp"
#include "servers/gateway/streams/stream_copies.hpp"
#include "servers/gateway/streams/stream_searches.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pollenhaven
{

// Knows which software version began a stream, also after all daemons have restarted: it
// keeps the records of policy/fleet/stream_origin.hpp in the store.
class stream_records
{
public:
    // Called with false if the store hasn't confirmed the record in time.
    using recorded_handler = std::function<void(bool is_recorded)>;
    using origin_handler = stream_searches::origin_handler;
    using loaded_check = stream_searches::loaded_check;
    using send_function = stream_searches::send_function;

    stream_records(gateway_context& context, loaded_check is_loaded,
                   const send_function& send);

    // Records the version to which a request for a new stream is sent. Records are
    // written together once a peer has a copy, and written again until the store confirms
    // them; `done` is called then, or after max_record_wait, when the stream must not
    // wait any longer.
    void record(const request_id& stream, const software_version& version,
                recorded_handler done);
    // Returns true if the store has the stream's record or may still get it: a write was
    // sent to which the store hasn't answered that nothing was done.
    bool may_be_written(const request_id& stream) const;
    // Withdraws a record that isn't written and can't be written any more.
    void withdraw(const request_id& stream);
    // Keeps in memory that the first event which this daemon passed on of a stream of the
    // service came from this version, and has peers keep it if there are several.
    void remember(const request_id& stream, const service_id& service,
                  const software_version& version);
    // Finds the version that began a stream of the service. `done` is called with the
    // result, at once if this daemon knows it.
    void find(const request_id& stream, const service_id& service, origin_handler done);

    // For how long neither the store nor the peers, whichever has been silent for longer,
    // have confirmed anything about records.
    milliseconds silence() const;

    // Removes records of streams that have ended. Must be called periodically.
    void run_periodic_work();

    void on_question(const stream_question_message& message);
    void on_statement(const stream_statement_message& message);
    stream_copies& copies() { return copies_; }

private:
    struct pending_record
    {
        stream_key stream;
        software_version version;
        instant requested_at;
        // Null once it has been called.
        recorded_handler done;
    };
    struct known_stream
    {
        software_version version;
        // When it was last begun, resumed or recorded.
        instant at;
        // An event of it has been passed on.
        bool has_begun = false;
        bool has_record = false;
        // See may_be_written().
        bool may_be_written = false;
    };

    // What this daemon remembers of a stream, or holds a copy of.
    stream_statement statement_of(const stream_key& stream) const;
    // Lets a record be written whose copy is confirmed, or can't be in time.
    void release_record(const stream_key& stream);
    void schedule_write();
    void write_batch();
    void set_may_be_written(const std::vector<pending_record>& batch, bool value);
    void on_batch_written(const std::vector<pending_record>& batch,
                          const std::vector<std::string>& removals,
                          const http_result& result);
    // Ends the wait of the streams whose records take too long to write.
    void release_late_streams();
    // Appends the handlers of the records that have waited for too long.
    void take_late_handlers(pending_record& entry, std::vector<recorded_handler>& late);
    bool may_be_written(const stream_key& stream) const;
    // Writes the records again that a restored store may have lost.
    void handle_new_era();
    // Writes the records of which this daemon holds copies and whose writers are gone.
    void write_records_of_lost_daemons();
    void write_again(const stream_key& stream, const software_version& version);
    void forget_ended_streams();
    // Removes the records that daemons have left behind which have restarted since.
    void remove_abandoned_records();
    void read_abandoned_page(const std::string& after);

    gateway_context& context_;
    loaded_check is_loaded_;
    send_function send_;
    store_client writer_;
    store_client reader_;
    stream_copies copies_;
    stream_searches searches_;
    // The records that no peer has confirmed yet.
    std::map<stream_key, pending_record> uncopied_;
    // The records to be written next.
    std::deque<pending_record> pending_;
    bool write_scheduled_ = false;
    bool write_in_progress_ = false;
    instant last_write_{};
    // The streams that this daemon began or resumed.
    std::map<stream_key, known_stream> known_;
    // Keys of own records, in the order of their writing, and of those to be removed.
    std::deque<std::string> removals_;
    store_era handled_era_;
    // The records of any daemon that the last listings contained, and when first.
    std::map<std::string, instant> seen_records_;
    std::set<std::string> listed_records_;
    instant last_listing_{};
    bool listing_in_progress_ = false;
};

} // namespace pollenhaven

#endif
