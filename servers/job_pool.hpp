#ifndef POLLENHAVEN_SERVERS_JOB_POOL_HPP
#define POLLENHAVEN_SERVERS_JOB_POOL_HPP

#include "core/bounded_ring.hpp"

#include <functional>
#include <thread>
#include <vector>

namespace pollenhaven
{

// A fixed number of threads for calls to endpoints, which block.
class job_pool
{
public:
    explicit job_pool(int threads);
    // Finishes the jobs already queued, then ends the threads.
    ~job_pool();
    job_pool(const job_pool&) = delete;
    job_pool& operator=(const job_pool&) = delete;

    // Returns false if too many jobs wait.
    bool run(std::function<void()> job);

private:
    void work();

    bounded_ring<std::function<void()>> jobs_;
    std::vector<std::thread> threads_;
};

} // namespace pollenhaven

#endif
