#include "servers/job_pool.hpp"

#include "core/log.hpp"

#include <utility>

namespace pollenhaven
{

namespace
{

constexpr std::size_t queued_jobs_limit = 4096;
constexpr milliseconds idle_wait{1000};

} // namespace

job_pool::job_pool(int threads) : jobs_(queued_jobs_limit)
{
    for (int i = 0; i < threads; ++i)
        threads_.emplace_back([this] { work(); });
}

job_pool::~job_pool()
{
    jobs_.close();
    for (std::thread& thread : threads_)
        thread.join();
}

bool job_pool::run(std::function<void()> job)
{
    return jobs_.try_push(std::move(job));
}

void job_pool::work()
{
    while (!jobs_.closed())
    {
        const std::optional<std::function<void()>> job = jobs_.pop(idle_wait);
        if (!job)
            continue;
        try
        {
            (*job)();
        }
        catch (const std::exception& error)
        {
            log_line(log_level::error, "a job ended with an error",
                     {{"error", error.what()}});
        }
    }
}

} // namespace pollenhaven
