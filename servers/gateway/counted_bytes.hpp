#ifndef POLLENHAVEN_SERVERS_GATEWAY_COUNTED_BYTES_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_COUNTED_BYTES_HPP

#include <cstddef>
#include <utility>

namespace pollenhaven
{

// A number of bytes that is part of a total for as long as this object lives. The total
// must outlive it.
class counted_bytes
{
public:
    explicit counted_bytes(std::size_t& total) : total_(&total) {}
    ~counted_bytes() { set(0); }
    counted_bytes(counted_bytes&& other) noexcept
        : total_(other.total_), bytes_(std::exchange(other.bytes_, 0))
    {
    }
    counted_bytes(const counted_bytes&) = delete;
    counted_bytes& operator=(const counted_bytes&) = delete;
    counted_bytes& operator=(counted_bytes&&) = delete;

    std::size_t value() const { return bytes_; }
    void set(std::size_t bytes)
    {
        *total_ += bytes - bytes_;
        bytes_ = bytes;
    }

private:
    std::size_t* total_;
    std::size_t bytes_ = 0;
};

} // namespace pollenhaven

#endif
