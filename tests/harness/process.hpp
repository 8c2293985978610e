#ifndef POLLENHAVEN_TESTS_HARNESS_PROCESS_HPP
#define POLLENHAVEN_TESTS_HARNESS_PROCESS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace pollenhaven::harness
{

// A program that a test started. Killed, by its pid, with the object.
class process
{
public:
    // Standard error goes to the log file; standard output to the output file, or,
    // without one, it is read by this object. Throws std::runtime_error if the program
    // can't be started.
    process(const std::string& program, const std::vector<std::string>& arguments,
            const std::string& log_file, const std::string& output_file = "");
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    // The next line of standard output. Throws std::runtime_error if the program ended.
    std::string read_line();
    void signal(int number) const;
    void kill();
    // Waits for the end; nothing if it doesn't come in time. Negative: ended by a signal.
    std::optional<int> wait(std::chrono::milliseconds timeout);
    bool running();
    // Processor time used so far, in seconds, and resident memory, in megabytes.
    double cpu_seconds() const;
    double resident_mb() const;

private:
    pid_t pid_ = -1;
    int output_ = -1;
    std::optional<int> exit_code_;
};

// A free port on 127.0.0.1, which no other test takes while this program runs.
int free_port();

// Where the build put a program, relative to the running test.
std::string program_path(const std::string& name);

} // namespace pollenhaven::harness

#endif
