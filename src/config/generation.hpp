// Numbered generations of the configuration and the snapshots built from them.
//
// Example:
//   config_snapshot now;                       // generation 0, empty
//   result<generation> g = parse_generation(18, text);
//   result<config_snapshot> next = apply(now, *g);
//
// A generation never changes once it is created, so copies from any holder
// are equal and may arrive in any order. All functions are thread-safe.
#pragma once

#include "config/document.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Number of generations between two checkpoints.
constexpr std::uint64_t checkpoint_interval = 200;

// One document put, or deleted when `json` is empty.
struct document_edit
{
    document_kind kind = document_kind::contract;
    std::string name;
    std::string json;
};

// One accepted change.
struct generation
{
    std::uint64_t number = 0;
    std::string edit_id; // chosen by the editor; finds a lost answer again
    std::string author;
    std::int64_t time_ms = 0; // wall clock of the editor
    std::vector<document_edit> edits;
};

template <class T>
using document_map = std::map<std::string, T, std::less<>>;

// The whole configuration as of one generation.
struct config_snapshot
{
    std::uint64_t number = 0;
    document_map<contract> contracts;
    document_map<version> versions; // by "model@version"
    document_map<upstream> upstreams;
    document_map<availability_zone> zones;
    document_map<service> services;
    // Documents as written, by "kind/name".
    document_map<std::string> texts;
    // Customer by hash of the API key.
    document_map<std::string> customers_by_key;
    // Generations whose contents were refused, with the reason.
    std::map<std::uint64_t, std::string> refused;
};

// The name of a generation's object: 12 digits, so that names sort by number.
std::string generation_name(std::uint64_t number);
// The number in a generation's name, or 0 when it is not one.
std::uint64_t generation_number(std::string_view name);

std::string to_json(generation const& g);
// Error: bad_document.
result<generation>
parse_generation(std::uint64_t number, std::string_view text);

// Returns the snapshot after `g`. Errors: bad_document when a document or a
// reference between documents is invalid. Precondition: g.number is one above
// the snapshot's.
result<config_snapshot> apply(config_snapshot const& from, generation const& g);

// Returns the snapshot after `g`, with the contents of `from` and a refusal
// noted when `g` is invalid; the number advances in either case.
config_snapshot
apply_or_refuse(config_snapshot const& from, generation const& g);

// The checkpoint's text and back. Error: bad_document.
std::string to_checkpoint(config_snapshot const& snapshot);
result<config_snapshot> parse_checkpoint(std::string_view text);

// The customer of an API key, or null.
contract const*
find_contract(config_snapshot const& snapshot, std::string_view api_key);

// Whether the contract permits the version.
bool is_permitted(contract const& c, version const& v);

// Whether the upstream and its availability zone are both in service.
bool is_in_service(config_snapshot const& snapshot, upstream const& u);

} // namespace marjorambeam
