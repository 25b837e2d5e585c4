#include "child_process.hpp"

#include "process_paths.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace marjorambeam
{
namespace
{

// Processes to end when the test itself is ended by a signal.
constexpr std::size_t max_children = 128;
std::array<pid_t volatile, max_children> running{};

void end_children(int number)
{
    for (pid_t const it : running)
    {
        if (it > 0)
            kill(it, SIGKILL);
    }
    std::signal(number, SIG_DFL);
    raise(number);
}

void note_running(pid_t from, pid_t to)
{
    static bool const is_installed = []
    {
        for (int const it : {SIGTERM, SIGINT, SIGPIPE, SIGSEGV, SIGABRT})
            std::signal(it, end_children);
        return true;
    }();
    (void)is_installed;
    auto const it = std::find(running.begin(), running.end(), from);
    if (it == running.end())
        throw std::runtime_error("too many processes");
    *it = to;
}

std::string read_file(std::string const& path)
{
    std::ifstream const in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

child_process::child_process(
    std::string directory, std::string name, std::vector<std::string> command)
    : path_(std::move(directory) + "/" + std::move(name))
    , command_(std::move(command))
{
    command_[0] = std::string(process_binaries) + "/" + command_[0];
    start();
}

child_process::~child_process()
{
    if (exit_code())
        return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    note_running(pid_, 0);
}

void child_process::start()
{
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    int const flags = O_WRONLY | O_CREAT | O_TRUNC;
    std::string const out = path_ + ".out";
    std::string const log = path_ + ".log";
    posix_spawn_file_actions_addopen(&files, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&files, 1, out.c_str(), flags, 0644);
    posix_spawn_file_actions_addopen(
        &files, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::vector<char*> arguments;
    for (std::string& it : command_)
        arguments.push_back(it.data());
    arguments.push_back(nullptr);
    int const ec = posix_spawn(
        &pid_, command_[0].c_str(), &files, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (ec != 0)
        throw std::runtime_error("can't start " + command_[0]);
    note_running(0, pid_);
}

void child_process::start_again()
{
    // Flags that named port 0 now name the port that the kernel chose.
    std::map<std::string, std::string> const flags{
        {"--listen", fields_.contains("http") ? "http" : "frames"},
        {"--peer-listen", "frames"},
        {"--admin-listen", "admin"}};
    for (std::size_t i = 1; i + 1 < command_.size(); ++i)
    {
        if (auto const it = flags.find(command_[i]); it != flags.end())
            command_[i + 1] = field(it->second);
    }
    exit_code_.reset();
    fields_.clear();
    start();
}

void child_process::signal(int number)
{
    if (!exit_code())
        kill(pid_, number);
}

std::optional<int> child_process::exit_code()
{
    if (exit_code_)
        return exit_code_;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_)
        return std::nullopt;
    constexpr int signal_base = 128;
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                   : signal_base + WTERMSIG(status);
    note_running(pid_, 0);
    return exit_code_;
}

bool child_process::is_listening()
{
    if (!fields_.empty())
        return true;
    if (exit_code())
        throw std::runtime_error(path_ + " has ended: " + errors());
    std::string const text = output();
    std::size_t const at = text.find("listening ");
    if (at == std::string::npos || text.back() != '\n')
        return false;
    std::istringstream words(text.substr(at));
    std::string word;
    while (words >> word)
    {
        std::size_t const equals = word.find('=');
        if (equals == std::string::npos)
            continue;
        std::string value = word.substr(equals + 1);
        if (value.starts_with("http://"))
            value.erase(0, std::string_view("http://").size());
        fields_[word.substr(0, equals)] = value;
    }
    return true;
}

std::string const& child_process::field(std::string_view key) const
{
    auto const it = fields_.find(key);
    if (it == fields_.end())
        throw std::runtime_error(path_ + " has no address " + std::string(key));
    return it->second;
}

std::size_t child_process::peak_memory() const
{
    constexpr std::string_view field = "VmHWM:";
    constexpr std::size_t bytes_per_kb = 1024;
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(in, line);)
    {
        if (line.starts_with(field))
            return std::stoul(line.substr(field.size())) * bytes_per_kb;
    }
    return 0;
}

std::string child_process::output() const
{
    return read_file(path_ + ".out");
}

std::string child_process::errors() const
{
    return read_file(path_ + ".log");
}

} // namespace marjorambeam
