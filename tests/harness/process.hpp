#ifndef POLLENHAVEN_TESTS_HARNESS_PROCESS_HPP
#define POLLENHAVEN_TESTS_HARNESS_PROCESS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace pollenhaven::harness
{

// A child process of a test. The destructor kills it.
class process
{
public:
    // Appends standard error to the log file, and standard output to the output file.
    // Without an output file standard output goes to a pipe, which read_line() reads.
    // Throws std::runtime_error if the program can't be started.
    process(const std::string& program, const std::vector<std::string>& arguments,
            const std::string& log_file, const std::string& output_file = "");
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    // Blocks until the next line of standard output. Throws std::runtime_error if the
    // output ended first.
    std::string read_line();
    void signal(int number) const;
    // Kills the process and waits until it has exited.
    void kill();
    // Waits for the process to exit. Returns its exit code, the negative signal number if
    // a signal ended it, or nothing if it still runs after the timeout.
    std::optional<int> wait(std::chrono::milliseconds timeout);
    bool running();
    // CPU time used so far, in seconds, and resident memory, in megabytes.
    double cpu_seconds() const;
    double resident_mb() const;

private:
    pid_t pid_ = -1;
    int output_ = -1;
    std::optional<int> exit_code_;
};

// Reserves a free port on 127.0.0.1 that no other test takes while this program runs.
// Throws std::runtime_error if none is found.
int free_port();

// Path of a program in the build directory that the running test is in.
std::string program_path(const std::string& name);

} // namespace pollenhaven::harness

#endif
