// Log of the decisions made for recent requests, read by `ctl explain`.
//
// Example:
//   trace_log traces(10000);
//   traces.add("r-1", now, "Admitted for customer havbris.");
//   std::string json = traces.to_json("r-1"); // empty for an unknown request
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjorambeam
{

// Keeps the decisions of the last `capacity` requests. Not thread-safe.
class trace_log
{
public:
    explicit trace_log(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    // Appends a decision with its reason, as a sentence.
    void add(std::string_view request_id, wall_time now, std::string decision);

    // Returns a JSON object with the request's decisions in order, or an empty
    // string for an unknown request.
    std::string to_json(std::string_view request_id) const;

private:
    struct step
    {
        wall_time at{};
        std::string decision;
    };

    std::size_t capacity_;
    std::deque<std::string> request_order_;
    std::unordered_map<std::string, std::vector<step>> steps_;
};

} // namespace marjorambeam
