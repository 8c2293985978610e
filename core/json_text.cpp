#include "core/json_text.hpp"

#include <cmath>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenhaven
{

namespace
{

using nlohmann::json;

// The parser's messages quote the input, which may be long.
constexpr std::size_t max_error_bytes = 300;

// Builds the value from the events of the parser, and stops the parser at the first list
// or object that is nested too deeply.
class bounded_builder final : public nlohmann::json_sax<json>
{
public:
    bool null() override { return add(nullptr); }
    bool boolean(bool value) override { return add(value); }
    bool number_integer(number_integer_t value) override { return add(value); }
    bool number_unsigned(number_unsigned_t value) override { return add(value); }
    bool number_float(number_float_t value, const string_t& /*text*/) override
    {
        return add(value);
    }
    bool string(string_t& value) override { return add(std::move(value)); }
    bool binary(binary_t& value) override { return add(json::binary(std::move(value))); }
    bool key(string_t& value) override
    {
        key_ = std::move(value);
        return true;
    }
    bool start_object(std::size_t /*elements*/) override { return open(json::object()); }
    bool end_object() override { return close(); }
    bool start_array(std::size_t /*elements*/) override { return open(json::array()); }
    bool end_array() override { return close(); }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const json::exception& error) override
    {
        error_ = std::string(error.what()).substr(0, max_error_bytes);
        return false;
    }

    const std::string& error() const { return error_; }
    json take_value() { return std::move(root_); }

private:
    json& place(json value)
    {
        if (open_.empty())
            return root_ = std::move(value);
        json& parent = *open_.back();
        if (parent.is_object())
            return parent[key_] = std::move(value);
        parent.push_back(std::move(value));
        return parent.back();
    }

    bool add(json value)
    {
        place(std::move(value));
        return true;
    }

    bool open(json value)
    {
        if (open_.size() == max_json_depth)
        {
            error_ =
                "it is nested deeper than " + std::to_string(max_json_depth) + " levels";
            return false;
        }
        open_.push_back(&place(std::move(value)));
        return true;
    }

    bool close()
    {
        open_.pop_back();
        return true;
    }

    json root_;
    // The lists and objects around the next value, the innermost last. Only the innermost
    // one grows, so the pointers stay valid.
    std::vector<json*> open_;
    std::string key_;
    std::string error_;
};

std::string to_text(double number)
{
    return json(number).dump();
}

[[noreturn]] void throw_out_of_range(const json& value, const std::string& expected,
                                     const std::string& least,
                                     const std::string& greatest)
{
    throw json_error(write_json(value).substr(0, max_error_bytes) + " is not " +
                     expected + " from " + least + " to " + greatest);
}

// The value as an integer, if it is one that 64 bits hold.
std::optional<std::int64_t> integer_of(const json& value)
{
    if (value.is_number_float())
    {
        constexpr double exact = static_cast<double>(max_exact_integer);
        const double number = value.get<double>();
        if (!(number >= -exact && number <= exact) || number != std::trunc(number))
            return std::nullopt;
        return static_cast<std::int64_t>(number);
    }
    const bool is_too_large =
        value.is_number_unsigned() &&
        value.get<std::uint64_t>() > std::numeric_limits<std::int64_t>::max();
    if (!value.is_number_integer() || is_too_large)
        return std::nullopt;
    return value.get<std::int64_t>();
}

json parse(std::string_view bytes, json::input_format_t format)
{
    bounded_builder builder;
    if (!json::sax_parse(bytes, &builder, format))
        throw json_error(builder.error());
    return builder.take_value();
}

} // namespace

json parse_json(std::string_view text)
{
    return parse(text, json::input_format_t::json);
}

json parse_message_pack(std::string_view bytes)
{
    return parse(bytes, json::input_format_t::msgpack);
}

json parse_json_or_null(std::string_view text)
{
    try
    {
        return parse_json(text);
    }
    catch (const json_error&)
    {
        return nullptr;
    }
}

std::string write_json(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

double checked_number(const json& value, double least, double greatest)
{
    // The comparison is false for a number that isn't finite.
    if (value.is_number() && value.get<double>() >= least &&
        value.get<double>() <= greatest)
        return value.get<double>();
    throw_out_of_range(value, "a number", to_text(least), to_text(greatest));
}

std::int64_t checked_integer(const json& value, std::int64_t least, std::int64_t greatest)
{
    const std::optional<std::int64_t> number = integer_of(value);
    if (number && *number >= least && *number <= greatest)
        return *number;
    throw_out_of_range(value, "an integer", std::to_string(least),
                       std::to_string(greatest));
}

int checked_count(const json& value)
{
    return static_cast<int>(checked_integer(value, 0, max_count));
}

milliseconds checked_duration(const json& value)
{
    return milliseconds(static_cast<std::int64_t>(
        checked_number(value, 0, static_cast<double>(max_duration.count()))));
}

} // namespace pollenhaven
