#ifndef POLLENHAVEN_CORE_IDS_HPP
#define POLLENHAVEN_CORE_IDS_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace pollenhaven
{

// A string identifier with its own type. The tag makes it a compile error to pass, for
// example, an endpoint id where a daemon id is expected.
template <class Tag> struct strong_string
{
    std::string value;

    auto operator<=>(const strong_string&) const = default;
    bool empty() const { return value.empty(); }
};

// An unsigned integer with its own type, for one unit or one kind of counter.
template <class Tag> struct strong_number
{
    std::uint64_t value = 0;

    auto operator<=>(const strong_number&) const = default;
};

// Identifies a daemon; stays the same when the daemon restarts.
using daemon_id = strong_string<struct daemon_id_tag>;
// Identifies one run of a daemon process; each restart gets a new one.
using incarnation_id = strong_string<struct incarnation_id_tag>;
// Identifies an endpoint: a model engine or one worker of a plain service.
using endpoint_id = strong_string<struct endpoint_id_tag>;
// Identifies a customer by its name in the operators' configuration.
using customer_id = strong_string<struct customer_id_tag>;
// Identifies a service, plain or of model engines, by its name in the operators'
// configuration.
using service_id = strong_string<struct service_id_tag>;
// Identifies a request; unique across all daemons.
using request_id = strong_string<struct request_id_tag>;
// Identifies a part of a prompt by its content; equal parts of two prompts have the same.
using prompt_part_id = strong_string<struct prompt_part_id_tag>;
// A key chosen by the caller; a non-idempotent call runs at most once under it.
using idempotency_key = strong_string<struct idempotency_key_tag>;
// An address of the form IP:PORT.
using network_address = strong_string<struct network_address_tag>;
// An adapter and its version, written adapter@version.
using model_ref = strong_string<struct model_ref_tag>;

// Counts the ownership changes of one endpoint; also serves as its fencing token.
using ownership_epoch = strong_number<struct ownership_epoch_tag>;
// A revision of the platform's key-value store; a larger one is newer.
using store_revision = strong_number<struct store_revision_tag>;
// Counts how often the store has been restored from a copy. Revisions of a later era are
// newer, also if they are smaller.
using store_era = strong_number<struct store_era_tag>;
// A state of the store. Positions are ordered by era first: a restored store gives out
// again the revisions that it has lost.
struct store_position
{
    store_era era;
    store_revision revision;

    auto operator<=>(const store_position&) const = default;
};
// A number of generated or prompt tokens.
using token_count = strong_number<struct token_count_tag>;

} // namespace pollenhaven

#endif
