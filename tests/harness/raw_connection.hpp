#ifndef POLLENHAVEN_TESTS_HARNESS_RAW_CONNECTION_HPP
#define POLLENHAVEN_TESTS_HARNESS_RAW_CONNECTION_HPP

#include <chrono>
#include <string>

namespace pollenhaven::harness
{

// A TCP connection on which a test sends bytes that no HTTP client would send. Reads only
// when it is told to.
class raw_connection
{
public:
    // `receive_buffer` is the size of the kernel's buffer for received bytes; 0 leaves it
    // as it is. Throws std::runtime_error if the connection can't be established.
    explicit raw_connection(const std::string& address, int receive_buffer = 0);
    ~raw_connection();
    raw_connection(raw_connection&& other) noexcept;
    raw_connection& operator=(raw_connection&&) = delete;
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    // Sends all bytes. Returns false if they aren't taken within the timeout or the
    // connection was closed.
    bool send(const std::string& bytes, std::chrono::milliseconds timeout);
    // Shuts the sending side; the connection can still be read.
    void shut_sending_side() const;
    // Reads until the text has arrived, the connection ends or the timeout has passed.
    // Returns all bytes that have been read so far.
    const std::string& read_until(const std::string& text,
                                  std::chrono::milliseconds timeout);
    // Reads at most this many bytes and adds them to what has been read. Returns false if
    // the connection ends or nothing arrives within the timeout.
    bool read_some(std::size_t max_bytes, std::chrono::milliseconds timeout);
    const std::string& received() const { return received_; }
    void close();

private:
    // Waits until the socket is ready for one of the poll events. Returns false after the
    // deadline.
    bool wait_until_ready(short events, std::chrono::steady_clock::time_point deadline);

    int socket_ = -1;
    std::string received_;
};

} // namespace pollenhaven::harness

#endif
