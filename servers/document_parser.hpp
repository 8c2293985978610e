#ifndef POLLENHAVEN_SERVERS_DOCUMENT_PARSER_HPP
#define POLLENHAVEN_SERVERS_DOCUMENT_PARSER_HPP

#include "policy/operating_document.hpp"

#include <map>
#include <stdexcept>
#include <string>

namespace pollenhaven
{

// Says where the operating document is wrong: section, line if known, and what to change.
class document_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// Reads the whole document from its sections' TOML texts and checks it: unknown keys,
// wrong types, values out of range, duplicates and references to things that don't exist.
// Throws document_error for the first fault found.
operating_document
parse_document(const std::map<std::string, document_section>& sections);

} // namespace pollenhaven

#endif
