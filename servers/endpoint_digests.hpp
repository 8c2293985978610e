#ifndef POLLENHAVEN_SERVERS_ENDPOINT_DIGESTS_HPP
#define POLLENHAVEN_SERVERS_ENDPOINT_DIGESTS_HPP

#include "policy/endpoint_scheduler.hpp"
#include "servers/peer_messages.hpp"

namespace pollenhaven
{

// What the other daemons are told of an endpoint. Ready means that it takes new work.
endpoint_digest to_digest(const endpoint_scheduler& scheduler, bool ready, instant now);

} // namespace pollenhaven

#endif
