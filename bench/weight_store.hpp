#ifndef POLLENHAVEN_BENCH_WEIGHT_STORE_HPP
#define POLLENHAVEN_BENCH_WEIGHT_STORE_HPP

#include "core/boot_clock.hpp"

#include <cstdint>
#include <map>

namespace pollenhaven::bench
{

// The store from which engines fetch adapters: a number of fetches at full speed, more of
// them share that speed.
class weight_store
{
public:
    weight_store(milliseconds fetch_time, int at_full_speed);

    // Begins a fetch. Returns its number.
    std::uint64_t start_fetch(instant now);
    // Moves all fetches on to this moment.
    void advance(instant now);
    bool is_complete(std::uint64_t fetch) const { return !remaining_ms_.contains(fetch); }
    // When the next fetch is complete if no other begins; `now` if none is under way.
    instant next_completion(instant now) const;
    bool is_idle() const { return remaining_ms_.empty(); }

private:
    double speed() const;

    double fetch_ms_;
    int full_speed_fetches_;
    instant advanced_to_{};
    std::uint64_t last_fetch_ = 0;
    // What each fetch would still take at full speed.
    std::map<std::uint64_t, double> remaining_ms_;
};

} // namespace pollenhaven::bench

#endif
