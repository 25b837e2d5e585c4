// Entries in front of agents in virtual time: the decisions of one request
// from the caller to the final response.
//
// Example:
//   fleet_settings s{.seed = 1, .seconds = 600};
//   s.customers.push_back({.name = "havbris", .rate = [](double) { return 3;
//   }}); fleet_result r = run_fleet(s); print(r.answers.size());
//
// Entries use src/admission, src/routing and src/retry as the entry binary
// does; agents are those of agent_model.hpp. Callers send to a random entry.
// All runs of the same seed see the same first attempts of callers.
#pragma once

#include "admission/admission.hpp"
#include "bench/policy_model/agent_model.hpp"
#include "bench/policy_model/model.hpp"
#include "error/error.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace marjorambeam
{

struct fleet_customer
{
    std::string name;
    std::uint32_t weight = 1;
    std::function<double(double)> rate; // requests per second at a time
    std::optional<allowance> limits;    // none: not limited
    // Sends only what its limits allow, with this part of the burst.
    double shaped_burst = 0;
    // Sends a refused request again so often, after `resend_seconds`,
    // whatever the advice.
    int resends = 0;
    double resend_seconds = 0.1;
};

// One availability zone stops without notice and returns cold.
struct zone_fault
{
    std::size_t zone = 0;
    double from = 0;
    double until = 0;
};

struct fleet_settings
{
    std::uint64_t seed = 1;
    double seconds = 600;
    std::size_t zones = 4;                  // one entry in each
    std::vector<double> speeds{20, 40, 60}; // the workers of each zone
    agent_settings agent;
    policy routing = policy::routed; // all but the oracle
    bool has_allowances = true;
    bool has_retry_budget = true; // or up to three attempts for anything
    double not_idempotent = 0;    // part of the requests
    std::vector<fleet_customer> customers;
    std::optional<zone_fault> fault;
};

enum class answer_kind : std::uint8_t
{
    answered,
    refused,
    late // its deadline passed
};

// The final response to one request of a caller.
struct fleet_answer
{
    std::size_t customer = 0;
    double arrival = 0;
    double end = 0;
    double tokens = 0;
    answer_kind kind = answer_kind::answered;
    error_kind why{}; // of a refusal
    run_state run = run_state::not_run;
    bool is_idempotent = true;
    unsigned runs = 0;       // at upstreams
    bool was_resent = false; // by the caller, whose entry was lost
    unsigned attempts = 0;
};

struct fleet_result
{
    std::vector<fleet_answer> answers;
    std::uint64_t requests = 0; // sent by callers, resent ones included
    std::uint64_t cold_overloads = 0;
};

// Tokens per second that all upstreams process with full batches.
double capacity_of(fleet_settings const& s);
// Tokens that a request takes on average.
double mean_tokens();

fleet_result run_fleet(fleet_settings const& s);

// Figures over the answers to requests that arrived in a period.
struct period_figures
{
    double count = 0;
    double p50 = 0; // seconds, of the answered
    double p95 = 0;
    double answered = 0; // part of all, within the deadline
    double refused = 0;  // count
    double tokens = 0;   // answered, by end of the answer in the period
    double attempts = 0; // per request that was sent to an upstream
};

// `customer` selects one customer; nothing selects all.
period_figures figures_of(
    fleet_result const& r, double from, double until,
    std::optional<std::size_t> customer = std::nullopt);

} // namespace marjorambeam
