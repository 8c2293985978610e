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

// Bounds the memory of lines that wait; about two seconds of a daemon at full load.
constexpr std::size_t most_waiting_bytes = 1U << 20U;
// Lines are collected for this long, so that the writer wakes seldom.
constexpr milliseconds write_interval{250};
// Standard output that nobody reads must not keep the process from ending.
constexpr milliseconds longest_ending{300};
constexpr std::int64_t nanoseconds_per_millisecond = 1'000'000;

void write_all(const std::string& text)
{
    std::size_t written = 0;
    while (written < text.size())
    {
        const ssize_t count =
            ::write(STDOUT_FILENO, text.data() + written, text.size() - written);
        // Nobody is left to tell when standard output fails.
        if (count <= 0)
            return;
        written += static_cast<std::size_t>(count);
    }
}

} // namespace

struct event_log::writer
{
    std::mutex mutex;
    std::condition_variable stopped;
    std::string waiting;
    std::uint64_t dropped = 0;
    bool stopping = false;
    bool finished = false;
    std::condition_variable ended;
    std::thread thread;

    void run()
    {
        std::unique_lock lock(mutex);
        while (true)
        {
            stopped.wait_for(lock, write_interval, [this] { return stopping; });
            std::string batch;
            batch.swap(waiting);
            if (dropped > 0)
                batch += R"({"event":"log lines dropped","count":)" +
                         std::to_string(dropped) + "}\n";
            dropped = 0;
            const bool last = stopping;
            lock.unlock();
            write_all(batch);
            lock.lock();
            if (last)
            {
                finished = true;
                ended.notify_one();
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
    writer_->stopped.notify_one();
    std::unique_lock lock(writer_->mutex);
    const bool ended = writer_->ended.wait_for(lock, longest_ending,
                                               [this] { return writer_->finished; });
    lock.unlock();
    if (ended)
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
    // Replaces invalid UTF-8 instead of throwing: a log line must not fail a request.
    const std::string text =
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
    const std::lock_guard lock(writer_->mutex);
    if (writer_->waiting.size() + text.size() > most_waiting_bytes)
        ++writer_->dropped;
    else
        writer_->waiting += text;
}

} // namespace pollenhaven
