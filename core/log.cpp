#include "core/log.hpp"

#include "core/boot_clock.hpp"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace pollenhaven
{

namespace
{

std::string& instance_name()
{
    static std::string name;
    return name;
}

std::string level_name(log_level level)
{
    switch (level)
    {
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        break;
    }
    return "error";
}

} // namespace

void start_logging(const std::string& program, const std::string& instance)
{
    static std::string program_name;
    program_name = program;
    instance_name() = instance;
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = false;
    google::InitGoogleLogging(program_name.c_str());
}

void log_line(log_level level, const std::string& message,
              const std::vector<log_field>& fields)
{
    constexpr long long nanoseconds_per_millisecond = 1'000'000;
    nlohmann::ordered_json line;
    line["time_ms"] = wall_clock_nanoseconds() / nanoseconds_per_millisecond;
    line["level"] = level_name(level);
    line["instance"] = instance_name();
    line["message"] = message;
    for (const log_field& field : fields)
        line[field.first] = field.second;
    // Replaces invalid UTF-8 instead of throwing: a log line must not fail a request.
    LOG(INFO) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace pollenhaven
