#ifndef POLLENHAVEN_SERVERS_GATEWAY_STREAM_RECORDS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_STREAM_RECORDS_HPP

#include "policy/fleet/stream_origin.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/store_client.hpp"
#include "servers/gateway/stream_searches.hpp"

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

    stream_records(gateway_context& context, loaded_check is_loaded);

    // Records the version to which a request for a new stream is sent. Records are
    // written together, and written again until the store confirms them; `done` is called
    // then, or after max_record_wait, when the stream must not wait any longer.
    void record(const request_id& stream, const software_version& version,
                recorded_handler done);
    // Returns true if the store has the stream's record or may still get it: a write was
    // sent to which the store hasn't answered that nothing was done.
    bool may_be_written(const request_id& stream) const;
    // Withdraws a record that isn't written and can't be written any more.
    void withdraw(const request_id& stream);
    // Keeps in memory that the stream's first event came from this version.
    void remember(const request_id& stream, const software_version& version);
    // Finds the version that began a stream of the service. `done` is called with the
    // result, at once if this daemon knows it.
    void find(const request_id& stream, const service_id& service, origin_handler done);

    // Removes records of streams that have ended. Must be called periodically.
    void run_periodic_work();

private:
    struct pending_record
    {
        request_id stream;
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

    void schedule_write();
    void write_batch();
    void set_may_be_written(const std::vector<pending_record>& batch, bool value);
    void on_batch_written(const std::vector<pending_record>& batch,
                          const std::vector<std::string>& removals,
                          const http_result& result);
    // Ends the wait of the streams whose records take too long to write.
    void release_late_streams();
    // Writes the records again that a restored store may have lost.
    void handle_new_era();
    void forget_ended_streams();
    // Removes the records that daemons have left behind which have restarted since.
    void remove_abandoned_records();
    void read_abandoned_page(const std::string& after);

    gateway_context& context_;
    loaded_check is_loaded_;
    store_client writer_;
    store_client reader_;
    stream_searches searches_;
    std::deque<pending_record> pending_;
    bool write_scheduled_ = false;
    bool write_in_progress_ = false;
    instant last_write_{};
    // The streams that this daemon began or resumed, by the request that began them.
    std::map<request_id, known_stream> known_;
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
