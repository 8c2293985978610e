#ifndef POLLENHAVEN_CORE_JSON_TEXT_HPP
#define POLLENHAVEN_CORE_JSON_TEXT_HPP

#include <nlohmann/json.hpp>

#include <cstddef>
#include <stdexcept>
#include <string_view>

namespace pollenhaven
{

// Copying and writing a JSON value recurse, so a value that another process has chosen
// must not be nested so deeply that it exhausts the stack. No message, entry or request
// needs this much nesting.
constexpr std::size_t max_json_depth = 100;

// Thrown for bytes that can't be parsed; what() names the reason.
class json_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// Each parses bytes from another process, JSON text or MessagePack. They throw json_error
// if the bytes are invalid or nested deeper than `max_json_depth`.
nlohmann::json parse_json(std::string_view text);
nlohmann::json parse_message_pack(std::string_view bytes);

// Parses JSON text as parse_json() does, but returns null instead of throwing.
nlohmann::json parse_json_or_null(std::string_view text);

} // namespace pollenhaven

#endif
