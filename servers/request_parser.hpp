#ifndef POLLENHAVEN_SERVERS_REQUEST_PARSER_HPP
#define POLLENHAVEN_SERVERS_REQUEST_PARSER_HPP

#include "servers/cluster_state.hpp"
#include "servers/peer_messages.hpp"

#include <string>

namespace pollenhaven
{

// What a caller wants of a completion.
struct completion_request
{
    execute_request execute;
    bool stream = false;
};

// Reads a chat completion's body. Throws request_error (not run) for a body that isn't
// JSON or lacks something, and for a model or version that the document doesn't name.
completion_request parse_chat_completion(const std::string& body,
                                         const operating_document& document);

// Reads a plain completion's body, which has a prompt in place of messages.
completion_request parse_completion(const std::string& body,
                                    const operating_document& document);

// Reads a call of a plain service. Throws request_error (not run) for an unknown service
// and for a missing idempotency key where the service needs one.
execute_request parse_service_call(const std::string& service, const std::string& path,
                                   const std::string& key, const std::string& body,
                                   const operating_document& document);

// A completed answer as the OpenAI-compatible API writes it, whole or one chunk of a
// stream.
std::string completion_body(const execute_event& last, const request_id& id,
                            const std::string& text, bool chat);
std::string chunk_body(const request_id& id, const model_ref& model,
                       const std::string& text, const std::string& finish_reason,
                       bool chat);

// A failure as a JSON body.
std::string error_body(const failure& reason, const request_id& id);

} // namespace pollenhaven

#endif
