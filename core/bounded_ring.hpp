#ifndef POLLENHAVEN_CORE_BOUNDED_RING_HPP
#define POLLENHAVEN_CORE_BOUNDED_RING_HPP

#include "core/boot_clock.hpp"

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace pollenhaven
{

// A queue of fixed capacity that joins two duties. Any thread may push; a full ring
// refuses, so that the producer decides what overload means.
template <class Item> class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity) : items_(capacity) {}

    // Appends the item. Returns false if the ring is full or closed.
    bool try_push(Item item)
    {
        {
            const std::lock_guard lock(mutex_);
            if (closed_ || items_.full())
                return false;
            items_.push_back(std::move(item));
        }
        not_empty_.notify_one();
        return true;
    }

    // Takes the oldest item, waiting up to the timeout. Returns nothing on timeout, or at
    // once when the ring is closed and empty.
    std::optional<Item> pop(milliseconds timeout)
    {
        std::unique_lock lock(mutex_);
        not_empty_.wait_for(lock, timeout, [this] { return closed_ || !items_.empty(); });
        if (items_.empty())
            return std::nullopt;
        Item item = std::move(items_.front());
        items_.pop_front();
        return item;
    }

    // Refuses further items and wakes all waiters. Items already held can still be taken.
    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            closed_ = true;
        }
        not_empty_.notify_all();
    }

    bool closed() const
    {
        const std::lock_guard lock(mutex_);
        return closed_ && items_.empty();
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable not_empty_;
    boost::circular_buffer<Item> items_;
    bool closed_ = false;
};

} // namespace pollenhaven

#endif
