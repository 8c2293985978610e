#include "servers/toml_reader.hpp"

#include <sstream>
#include <utility>

namespace pollenhaven
{

toml_reader::toml_reader(const toml::table& table, std::string source, std::string name,
                         error_handler report)
    : table_(table), source_(std::move(source)), name_(std::move(name)),
      report_(std::move(report))
{
}

std::string line_of(const toml::node& node)
{
    return std::to_string(node.source().begin.line);
}

const toml::node* toml_reader::find(const std::string& key)
{
    known_keys_.insert(key);
    return table_.get(key);
}

void toml_reader::report_error(const std::string& key, const std::string& message) const
{
    const toml::node* node = table_.get(key);
    const toml::node& place = node == nullptr ? table_ : *node;
    report_(source_ + ":" + line_of(place) + ": " + name_ + "." + key + " " + message);
}

std::string toml_reader::required_text(const std::string& key)
{
    const std::string value = text(key, "");
    if (value.empty())
        report_error(key, "is missing or empty");
    return value;
}

std::string toml_reader::text(const std::string& key, const std::string& fallback)
{
    const toml::node* node = find(key);
    if (node == nullptr)
        return fallback;
    const std::optional<std::string> value = node->value_exact<std::string>();
    if (!value)
        report_error(key, "must be a string");
    return value.value_or(fallback);
}

long long toml_reader::number(const std::string& key, long long fallback,
                              long long lowest, long long highest)
{
    const toml::node* node = find(key);
    if (node == nullptr)
        return fallback;
    const std::optional<std::int64_t> value = node->value_exact<std::int64_t>();
    if (!value)
        report_error(key, "must be an integer");
    else if (*value < lowest || *value > highest)
        report_error(key, "is " + std::to_string(*value) + ", outside " +
                              std::to_string(lowest) + " to " + std::to_string(highest));
    return value.value_or(fallback);
}

double toml_reader::real(const std::string& key, double fallback, double lowest,
                         double highest)
{
    const toml::node* node = find(key);
    if (node == nullptr)
        return fallback;
    if (!node->is_number())
    {
        report_error(key, "must be a number");
        return fallback;
    }
    const double value = node->value<double>().value_or(fallback);
    // Not a number compares as neither below nor above a bound.
    if (!(value >= lowest && value <= highest))
    {
        std::ostringstream message;
        message << "is " << value << ", outside " << lowest << " to " << highest;
        report_error(key, message.str());
    }
    return value;
}

bool toml_reader::boolean(const std::string& key, bool fallback)
{
    const toml::node* node = find(key);
    if (node == nullptr)
        return fallback;
    const std::optional<bool> value = node->value_exact<bool>();
    if (!value)
        report_error(key, "must be true or false");
    return value.value_or(fallback);
}

std::vector<std::string> toml_reader::string_list(const std::string& key)
{
    std::vector<std::string> values;
    const toml::node* node = find(key);
    if (node == nullptr)
        return values;
    const toml::array* list = node->as_array();
    if (list == nullptr)
    {
        report_error(key, "must be a list of strings");
        return values;
    }
    for (const toml::node& element : *list)
    {
        const std::optional<std::string> value = element.value_exact<std::string>();
        if (!value)
            report_error(key, "must contain only strings");
        values.push_back(value.value_or(""));
    }
    return values;
}

std::string toml_reader::one_of(const std::string& key, const std::string& fallback,
                                const std::vector<std::string>& allowed)
{
    const std::string value = text(key, fallback);
    std::string choices;
    for (const std::string& choice : allowed)
    {
        if (choice == value)
            return value;
        choices += (choices.empty() ? "" : ", ") + choice;
    }
    report_error(key, "is '" + value + "'; it must be one of " + choices);
    return fallback;
}

void toml_reader::reject_unknown_keys()
{
    for (const auto& [key, node] : table_)
    {
        const std::string name(key.str());
        if (known_keys_.count(name) == 0)
            report_error(name, "is not a known key");
    }
}

} // namespace pollenhaven
