#include "core/http_head.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace pollenhaven
{

namespace
{

constexpr std::array<std::string_view, 10> connection_fields{
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",  "TE",
    "Trailer",    "Upgrade",    "Content-Length",   "Proxy-Authenticate", "Expect"};

char lower(char letter)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ')
        text.remove_suffix(1);
    return text;
}

bool lists_token(std::string_view list, std::string_view token)
{
    while (!list.empty())
    {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (same_field_name(trimmed(list.substr(0, comma)), token))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

std::string percent_decoded(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        unsigned value = 0;
        const char* const digits = text.data() + at + 1;
        if (text[at] == '%' && at + 2 < text.size() &&
            std::from_chars(digits, digits + 2, value, hexadecimal).ptr == digits + 2)
        {
            result += static_cast<char>(value);
            at += 2;
            continue;
        }
        result += text[at] == '+' ? ' ' : text[at];
    }
    return result;
}

} // namespace

bool same_field_name(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

std::string_view field_value(const http_head& head, std::string_view name)
{
    for (const http_field& field : head.fields)
        if (same_field_name(field.name, name))
            return field.value;
    return {};
}

bool is_connection_field(const http_head& head, std::string_view name)
{
    for (const std::string_view known : connection_fields)
        if (same_field_name(known, name))
            return true;
    for (const http_field& field : head.fields)
        if (same_field_name(field.name, "Connection") && lists_token(field.value, name))
            return true;
    return false;
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string query_value(std::string_view target, std::string_view name)
{
    std::size_t at = target.find('?');
    while (at != std::string_view::npos)
    {
        std::string_view pair = target.substr(at + 1);
        pair = pair.substr(0, pair.find('&'));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name)
            return percent_decoded(pair.substr(std::min(equals + 1, pair.size())));
        at = target.find('&', at + 1);
    }
    return {};
}

} // namespace pollenhaven
