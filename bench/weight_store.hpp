#ifndef POLLENHAVEN_BENCH_WEIGHT_STORE_HPP
#define POLLENHAVEN_BENCH_WEIGHT_STORE_HPP

#include "core/boot_clock.hpp"

#include <cstdint>
#include <map>

namespace pollenhaven::bench
{

// The store from which engines fetch adapter weights. Up to a number of concurrent
// fetches run at full speed; more of them share that bandwidth equally.
class weight_store
{
public:
    // `fetch_time` is the duration of one fetch at full speed.
    weight_store(milliseconds fetch_time, int full_speed_fetches);

    // Starts a fetch and returns its id.
    std::uint64_t start_fetch(instant now);
    // Updates the progress of all fetches to `now`.
    void advance(instant now);
    bool is_complete(std::uint64_t fetch) const { return !remaining_ms_.contains(fetch); }
    // When the next fetch completes if no other starts; `now` if none is in progress.
    instant next_completion(instant now) const;
    bool is_idle() const { return remaining_ms_.empty(); }

private:
    double speed() const;

    double fetch_ms_;
    int full_speed_fetches_;
    instant advanced_to_{};
    std::uint64_t last_fetch_ = 0;
    // Remaining time of each fetch at full speed.
    std::map<std::uint64_t, double> remaining_ms_;
};

} // namespace pollenhaven::bench

#endif
