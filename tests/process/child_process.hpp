// A started binary, ended by its process id when it goes out of scope.
//
// Example:
//   child_process api(dir, "object-api", {"fake-object-api"});
//   while (!api.is_listening())
//       ...;
//   std::string address = api.field("http");
//   api.signal(SIGSTOP);
//
// Not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace marjorambeam
{

class child_process
{
public:
    // Starts `command` (a binary of the build and its arguments) with its
    // output in DIRECTORY/NAME.out and NAME.log. Throws std::runtime_error
    // when it can't be started.
    child_process(
        std::string directory, std::string name,
        std::vector<std::string> command);
    // Ends the process with SIGKILL if it still runs.
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    // Starts the command again, with the same addresses. Precondition: the
    // process has ended.
    void start_again();

    // Sends a signal, unless the process has ended.
    void signal(int number);

    // The exit code, 128 + N after signal N, or nothing while it runs.
    std::optional<int> exit_code();

    // Whether the line with its addresses was written. Throws
    // std::runtime_error when the process has ended.
    bool is_listening();
    // An address of that line, such as "frames", without a scheme.
    std::string const& field(std::string_view key) const;

    // Peak of the memory that the process has had in use, in bytes; 0 once it
    // has ended.
    std::size_t peak_memory() const;

    std::string output() const;
    std::string errors() const;

private:
    void start();

    std::string path_; // of the output files, without an extension
    std::vector<std::string> command_;
    std::map<std::string, std::string, std::less<>> fields_;
    pid_t pid_ = -1;
    std::optional<int> exit_code_;
};

} // namespace marjorambeam
