// Sends requests at a fixed rate or with a fixed number under way, and
// measures what the caller sees.
//
// Example:
//   load_settings s = ...;
//   load_report report = run_load(loop, s);
//   std::cout << to_json(report) << '\n';
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "base/time.hpp"
#include "settings/settings.hpp"

#include <cstdint>
#include <ev++.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

struct load_settings
{
    std::string urls; // bases, separated by commas; used in turn
    std::string key;  // API key; empty for an engine called directly
    std::string path; // of the request
    std::string method;
    std::string model;
    bool is_stream = false;
    std::int64_t max_tokens = 0;
    std::int64_t prompt_bytes = 0;
    double rate = 0;              // requests a second; 0: as fast as answered
    std::int64_t concurrency = 0; // under way at most
    duration time{};              // of sending
    duration timeout{};           // of one request
    std::string body;             // replaces the chat body when not empty
};

std::vector<setting> settings_table(load_settings& s);

// Latencies in seconds, sorted.
struct load_report
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0; // whole, with status 200
    std::uint64_t dropped = 0;  // not sent: too many under way
    std::map<std::string, std::uint64_t> failures; // by status or error kind
    std::uint64_t tokens = 0;
    double seconds = 0;
    std::vector<double> total;
    std::vector<double> first_byte;
    std::vector<double> gaps; // between pieces of streams
};

// The smallest sample that is not below the share `p` of all; 0 when there
// are none. Precondition: `sorted` is sorted. Thread-safe.
double percentile(std::vector<double> const& sorted, double p);

// Runs until all requests have ended.
load_report run_load(ev::loop_ref loop, load_settings const& settings);

std::string to_json(load_report const& report);

} // namespace marjorambeam
