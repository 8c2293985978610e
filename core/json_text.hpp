#ifndef POLLENHAVEN_CORE_JSON_TEXT_HPP
#define POLLENHAVEN_CORE_JSON_TEXT_HPP

#include "core/boot_clock.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>

namespace pollenhaven
{

// Copying and writing a JSON value recurse, so a value that another process has chosen
// must not be nested so deeply that it exhausts the stack. No message, entry or request
// needs this much nesting.
constexpr std::size_t max_json_depth = 100;

// The largest number of things that another process may state.
constexpr std::int64_t max_count = std::numeric_limits<int>::max();
// JSON numbers are often floating point, which holds integers exactly up to here.
constexpr std::int64_t max_exact_integer = std::int64_t{1} << 53;
// The longest time that another process may state, some years: far from where sums of
// times overflow.
constexpr milliseconds max_duration{100'000'000'000};

// Thrown for bytes that can't be parsed and for numbers out of range; what() names the
// reason.
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

// Writes JSON text. Texts in the value may hold any bytes of a caller; those that aren't
// UTF-8 are replaced.
std::string write_json(const nlohmann::json& value);

// Each converts a number from another process. They throw json_error, which names the
// value and the range, if it is no number or not in the range from `least` to `greatest`.
double checked_number(const nlohmann::json& value, double least, double greatest);
// Numbers with a fraction aren't integers.
std::int64_t checked_integer(const nlohmann::json& value, std::int64_t least,
                             std::int64_t greatest);
// An integer from 0 to `max_count`.
int checked_count(const nlohmann::json& value);
// A number of milliseconds from 0 to `max_duration`; its fraction is dropped.
milliseconds checked_duration(const nlohmann::json& value);

} // namespace pollenhaven

#endif
