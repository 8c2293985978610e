#include "tests/harness/process.hpp"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <random>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

extern char** environ;

namespace pollenhaven::harness
{

namespace
{

constexpr std::chrono::milliseconds wait_interval{10};
constexpr int file_mode = 0644;
// Below Linux's default range of ephemeral ports (32768 and up), so that no outgoing
// connection takes the port of a daemon while it restarts.
constexpr int min_port = 10000;
constexpr int max_port = 31999;
constexpr int port_attempts = 1000;
// A test reserves a port of 127.0.0.1 by binding the same port of 127.0.0.2, which leaves
// the port itself free for the program under test.
constexpr std::uint32_t reservation_host = INADDR_LOOPBACK + 1;

// Returns a socket that is bound to the port, or -1 if the port is in use.
int bind_socket(std::uint32_t host, int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(host);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const auto* generic_address = reinterpret_cast<const sockaddr*>(&address);
    if (descriptor >= 0 && bind(descriptor, generic_address, sizeof(address)) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

} // namespace

process::process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& log_file, const std::string& output_file)
{
    std::array<int, 2> pipe_ends{};
    if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0)
        throw std::runtime_error("can't open a pipe for a program's standard output");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (output_file.empty())
        posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    else
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_file.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, file_mode);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, file_mode);
    std::vector<char*> argv{const_cast<char*>(program.c_str())};
    for (const std::string& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    const int error =
        posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipe_ends[1]);
    output_ = pipe_ends[0];
    if (error != 0)
        throw std::runtime_error("can't start " + program + ": " + std::strerror(error));
}

process::~process()
{
    kill();
    if (output_ >= 0)
        close(output_);
}

process::process(process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), output_(std::exchange(other.output_, -1)),
      exit_code_(other.exit_code_)
{
}

process& process::operator=(process&& other) noexcept
{
    std::swap(pid_, other.pid_);
    std::swap(output_, other.output_);
    std::swap(exit_code_, other.exit_code_);
    return *this;
}

std::string process::read_line()
{
    std::string line;
    char character = 0;
    while (read(output_, &character, 1) == 1)
    {
        if (character == '\n')
            return line;
        line += character;
    }
    throw std::runtime_error(
        "the program closed its standard output before the end of a line");
}

void process::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

void process::kill()
{
    if (pid_ <= 0 || exit_code_)
        return;
    signal(SIGKILL);
    wait(std::chrono::seconds(10));
}

std::optional<int> process::wait(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!exit_code_)
    {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_)
            exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        else if (std::chrono::steady_clock::now() > deadline)
            return std::nullopt;
        else
            std::this_thread::sleep_for(wait_interval);
    }
    return exit_code_;
}

bool process::running()
{
    return pid_ > 0 && !wait(std::chrono::milliseconds(0));
}

double process::cpu_seconds() const
{
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
    std::string text;
    std::getline(stat, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    // After the process name: the state and ten numbers, then user and system CPU time in
    // clock ticks (proc(5)).
    constexpr int fields_before_times = 11;
    std::string skipped;
    for (int i = 0; i < fields_before_times; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double process::resident_mb() const
{
    std::ifstream statm("/proc/" + std::to_string(pid_) + "/statm");
    double pages = 0;
    double resident = 0;
    statm >> pages >> resident;
    constexpr double bytes_per_megabyte = 1e6;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytes_per_megabyte;
}

int free_port()
{
    std::random_device random;
    std::uniform_int_distribution<int> ports(min_port, max_port);
    for (int attempt = 0; attempt < port_attempts; ++attempt)
    {
        const int port = ports(random);
        const int reservation = bind_socket(reservation_host, port);
        const int probe = reservation < 0 ? -1 : bind_socket(INADDR_LOOPBACK, port);
        if (probe >= 0)
        {
            // The reserving socket stays open until this program ends, so that other
            // tests skip the port.
            close(probe);
            return port;
        }
        if (reservation >= 0)
            close(reservation);
    }
    throw std::runtime_error("no free port found on 127.0.0.1");
}

std::string program_path(const std::string& name)
{
    std::array<char, 4096> executable{};
    const ssize_t length =
        readlink("/proc/self/exe", executable.data(), executable.size() - 1);
    const std::string path(executable.data(),
                           static_cast<std::size_t>(std::max<ssize_t>(0, length)));
    // Callers are programs in tests/ or bench/ of the build directory.
    const std::string directory = path.substr(0, path.rfind('/'));
    const std::string build_directory = directory.substr(0, directory.rfind('/'));
    const bool is_standin_program = name == "pollenhaven-standin";
    return build_directory + (is_standin_program ? "/tests/standins/" : "/main/") + name;
}

} // namespace pollenhaven::harness
