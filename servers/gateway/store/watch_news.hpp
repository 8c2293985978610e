#ifndef POLLENHAVEN_SERVERS_GATEWAY_STORE_WATCH_NEWS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_STORE_WATCH_NEWS_HPP

#include "core/interfaces/platform_dialect.hpp"

#include <string>
#include <vector>

namespace pollenhaven
{

// Changes below a prefix of the store, for the daemons that don't watch it themselves.
struct watch_news
{
    std::string prefix;
    // The items are all changes after the first position and up to the second one, but
    // for those that have no meaning for the receiver.
    store_position after;
    store_position position;
    std::vector<store_item> items;
};

} // namespace pollenhaven

#endif
