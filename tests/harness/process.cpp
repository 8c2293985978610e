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

constexpr std::chrono::milliseconds wait_step{10};
constexpr int log_mode = 0644;
// Below the range from which the system takes the ports of outgoing connections: a port
// there stays free while a daemon is being restarted.
constexpr int lowest_port = 10000;
constexpr int highest_port = 31999;
constexpr int port_attempts = 1000;
// 127.0.0.2, on which tests reserve the ports that they use on 127.0.0.1.
constexpr std::uint32_t reserving_host = INADDR_LOOPBACK + 1;

// A socket bound to the port, or -1 if something else has it.
int bind_socket(std::uint32_t host, int port)
{
    const int number = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(host);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (number >= 0 && bind(number, generic, sizeof(address)) == 0)
        return number;
    close(number);
    return -1;
}

} // namespace

process::process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& log_file, const std::string& output_file)
{
    std::array<int, 2> pipe_ends{};
    if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0)
        throw std::runtime_error("can't open a pipe");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (output_file.empty())
        posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    else
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_file.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, log_mode);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, log_mode);
    std::vector<char*> words{const_cast<char*>(program.c_str())};
    for (const std::string& argument : arguments)
        words.push_back(const_cast<char*>(argument.c_str()));
    words.push_back(nullptr);
    const int error =
        posix_spawn(&pid_, program.c_str(), &actions, nullptr, words.data(), environ);
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
    char letter = 0;
    while (read(output_, &letter, 1) == 1)
    {
        if (letter == '\n')
            return line;
        line += letter;
    }
    throw std::runtime_error("a program ended before it said what was expected");
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
            std::this_thread::sleep_for(wait_step);
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
    // After the name come the state and ten numbers, then user and system time in ticks.
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
    std::uniform_int_distribution<int> ports(lowest_port, highest_port);
    for (int attempt = 0; attempt < port_attempts; ++attempt)
    {
        const int port = ports(random);
        const int reserved = bind_socket(reserving_host, port);
        const int probe = reserved < 0 ? -1 : bind_socket(INADDR_LOOPBACK, port);
        if (probe >= 0)
        {
            // The reservation stays open, and with it other tests stay away.
            close(probe);
            return port;
        }
        if (reserved >= 0)
            close(reserved);
    }
    throw std::runtime_error("the system gave no free port");
}

std::string program_path(const std::string& name)
{
    std::array<char, 4096> self{};
    const ssize_t length = readlink("/proc/self/exe", self.data(), self.size() - 1);
    const std::string path(self.data(),
                           static_cast<std::size_t>(std::max<ssize_t>(0, length)));
    // Programs that use this lie in tests/ or bench/ of the build folder.
    const std::string folder = path.substr(0, path.rfind('/'));
    const std::string build = folder.substr(0, folder.rfind('/'));
    const bool is_standin = name == "pollenhaven-standin";
    return build + (is_standin ? "/tests/standins/" : "/main/") + name;
}

} // namespace pollenhaven::harness
