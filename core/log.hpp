#ifndef POLLENHAVEN_CORE_LOG_HPP
#define POLLENHAVEN_CORE_LOG_HPP

#include <string>
#include <utility>
#include <vector>

namespace pollenhaven
{

enum class log_level
{
    info,
    warning,
    error
};

using log_field = std::pair<std::string, std::string>;

// Prepares glog to write bare JSON lines to standard error. Call once, first in main.
void start_logging(const std::string& program, const std::string& instance);

// Writes one JSON line: time, level, instance, message and the fields. Thread-safe.
void log_line(log_level level, const std::string& message,
              const std::vector<log_field>& fields = {});

} // namespace pollenhaven

#endif
