#include "core/event_log.hpp"

#include "core/boot_clock.hpp"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace pollenhaven
{

namespace
{

// Limit on the memory for buffered lines: about two seconds of output of a daemon at full
// load.
constexpr std::size_t max_buffered_bytes = 1U << 20U;
// Lines are buffered for this long, so that the writer thread seldom wakes up.
constexpr milliseconds write_interval{250};
// A process whose standard output is not being read must still exit.
constexpr milliseconds shutdown_timeout{300};
constexpr std::int64_t nanoseconds_per_millisecond = 1'000'000;

void write_all(const std::string& text)
{
    std::size_t written = 0;
    while (written < text.size())
    {
        const ssize_t count =
            ::write(STDOUT_FILENO, text.data() + written, text.size() - written);
        // A failure of standard output cannot be reported anywhere.
        if (count <= 0)
            return;
        written += static_cast<std::size_t>(count);
    }
}

} // namespace

struct event_log::writer
{
    std::mutex mutex;
    std::condition_variable stop_signal;
    std::string buffer;
    std::uint64_t dropped = 0;
    bool stopping = false;
    bool finished = false;
    std::condition_variable finished_signal;
    std::thread thread;

    void run()
    {
        std::unique_lock lock(mutex);
        while (true)
        {
            stop_signal.wait_for(lock, write_interval, [this] { return stopping; });
            std::string batch;
            batch.swap(buffer);
            if (dropped > 0)
                batch += R"({"event":"log lines dropped","count":)" +
                         std::to_string(dropped) + "}\n";
            dropped = 0;
            const bool is_last_batch = stopping;
            lock.unlock();
            write_all(batch);
            lock.lock();
            if (is_last_batch)
            {
                finished = true;
                finished_signal.notify_one();
                return;
            }
        }
    }
};

event_log::event_log(std::string source)
    : source_(std::move(source)), writer_(std::make_shared<writer>())
{
    writer_->thread = std::thread([shared = writer_] { shared->run(); });
}

event_log::~event_log()
{
    {
        const std::lock_guard lock(writer_->mutex);
        writer_->stopping = true;
    }
    writer_->stop_signal.notify_one();
    std::unique_lock lock(writer_->mutex);
    const bool finished = writer_->finished_signal.wait_for(
        lock, shutdown_timeout, [this] { return writer_->finished; });
    lock.unlock();
    if (finished)
        writer_->thread.join();
    else
        writer_->thread.detach();
}

void event_log::write(std::string_view event, std::initializer_list<log_field> fields)
{
    nlohmann::ordered_json line;
    line["time_ms"] = wall_clock_nanoseconds() / nanoseconds_per_millisecond;
    line["daemon"] = source_;
    line["event"] = event;
    for (const log_field& field : fields)
        std::visit([&](const auto& value) { line[std::string(field.name)] = value; },
                   field.value);
    // Replaces invalid UTF-8 instead of throwing: logging must not make a request fail.
    const std::string text =
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
    const std::lock_guard lock(writer_->mutex);
    if (writer_->buffer.size() + text.size() > max_buffered_bytes)
        ++writer_->dropped;
    else
        writer_->buffer += text;
}

} // namespace pollenhaven
