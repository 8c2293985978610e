#ifndef POLLENHAVEN_CORE_INTERFACES_SERVICE_CLIENT_HPP
#define POLLENHAVEN_CORE_INTERFACES_SERVICE_CLIENT_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "core/verdict.hpp"

#include <functional>
#include <string>

namespace pollenhaven
{

struct service_call
{
    request_id id;
    idempotency_key key;
    std::string path;
    std::string body;
    ownership_epoch fencing;
    std::string trace_parent;
    milliseconds timeout{30000};
};

struct service_answer
{
    verdict run = verdict::may_have_run;
    int status = 0;
    std::string body;
    failure error;
};

// One worker of a plain service. The call blocks and may be made from any thread.
struct service_client
{
    std::function<service_answer(const service_call&)> call;
};

} // namespace pollenhaven

#endif
