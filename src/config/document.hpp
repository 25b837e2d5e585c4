// The documents that operators edit: contracts, versions, upstreams,
// availability zones and services.
//
// Example:
//   result<contract> c = parse_contract("havbris", json_text);
//   if (!c)
//       print(c.error().message); // "contracts/havbris: weight: ..."
//
// docs/documents.md is the schema page. All functions are thread-safe.
#pragma once

#include "base/time.hpp"
#include "error/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Price of one token or call, in millionths of a credit.
using micro_credits = std::int64_t;

// The versions of a model that a customer may use.
struct model_permission
{
    std::string model;
    std::vector<std::string> versions; // empty: all
};

// What one customer may use and spend.
struct contract
{
    std::string customer;
    std::vector<std::string> key_hashes; // secret_hash of each API key
    std::uint32_t weight = 1;            // share in fair queueing, 1 to 1000
    std::vector<model_permission> models;
    std::vector<std::string> services;
    // Models for "auto" from cheap to costly; empty: all permitted by price.
    std::vector<std::string> cascade;
    double quality_floor = 0;   // 0 to 1; no model below it is chosen
    double explore_rate = 0.02; // share of requests that try a cheaper model
    std::int64_t ratings_per_hour = 60; // budget for the rating service
    double requests_per_second = 10;
    double tokens_per_second = 10000;
    double burst_seconds = 2;
    micro_credits spend_limit_per_day = 0; // 0: no limit
    std::int64_t max_queued = 64;          // requests waiting per upstream
    duration default_timeout = std::chrono::seconds(30);
};

enum class version_state : std::uint8_t
{
    active,   // takes all traffic that is not on a rolling version
    rolling,  // takes `share` of new sessions and requests
    withdrawn // receives no new work
};

struct version
{
    std::string model;
    std::string name;
    version_state state = version_state::active;
    double share = 0;            // 0 to 1, for `rolling`
    micro_credits price_in = 0;  // per token
    micro_credits price_out = 0; // per token
    double quality = 0.5;        // 0 to 1, the declared quality

    // "model@version".
    std::string id() const
    {
        return model + "@" + name;
    }
};

enum class upstream_kind : std::uint8_t
{
    engine,
    service
};

enum class service_state : std::uint8_t
{
    in,
    out
};

struct upstream
{
    std::string name;
    upstream_kind kind = upstream_kind::engine;
    std::string availability_zone;
    std::vector<std::string> serves; // "model@version", or service names
    service_state state = service_state::in;
    std::int64_t cold_concurrency = 1;
    std::int64_t warm_concurrency = 16;
    bool checks_fencing = false; // refuses commands with an old number
};

struct availability_zone
{
    std::string name;
    std::string region;
    service_state state = service_state::in;
};

// A plain service beside the model engines.
struct service
{
    std::string name;
    std::vector<std::string> idempotent_methods; // others run at most once
    bool requires_key = false; // a call that may not repeat must bring a key
    micro_credits price = 0;   // per call
};

enum class document_kind : std::uint8_t
{
    contract,
    version,
    upstream,
    availability_zone,
    service
};

// "contracts", "versions", "upstreams", "zones" or "services".
std::string_view to_string(document_kind kind);
// The kind with that name, also in the singular. Error: bad_document.
result<document_kind> parse_document_kind(std::string_view name);

// Each parses and checks one document; `name` is the name it is stored under.
// Error: bad_document with kind, name, field and reason of every fault.
result<contract> parse_contract(std::string_view name, std::string_view json);
result<version> parse_version(std::string_view name, std::string_view json);
result<upstream> parse_upstream(std::string_view name, std::string_view json);
result<availability_zone>
parse_availability_zone(std::string_view name, std::string_view json);
result<service> parse_service(std::string_view name, std::string_view json);

// Checks a document of any kind.
result<void> check_document(
    document_kind kind, std::string_view name, std::string_view json);

} // namespace marjorambeam
