// The edits behind the operators' commands: documents from a file, and changes
// of one field of a document in force.
//
// Example:
//   result<std::vector<document_edit>> edits = parse_documents(text);
//   drop_unchanged(config, *edits);
//   edits = change_zone(config, "hitra", "out");
//
// Performs no I/O. All functions are thread-safe.
#pragma once

#include "config/generation.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Reads one {"kind","name","document"} object or an array of them. Errors:
// bad_document with every document that is not valid by itself, or that is
// there twice.
result<std::vector<document_edit>> parse_documents(std::string_view text);

// The text of a document in force. Error: not_found.
result<std::string> find_document(
    config_snapshot const& config, document_kind kind, std::string_view name);

// Returns the edit that deletes a document. Error: not_found.
result<std::vector<document_edit>> delete_document(
    config_snapshot const& config, document_kind kind, std::string_view name);

// Returns the edit that sets the state of an availability zone or upstream to
// "in" or "out". Error: not_found.
result<std::vector<document_edit>> change_state(
    config_snapshot const& config, document_kind kind, std::string_view name,
    std::string_view state);

// Returns the edit that sets the state of a version, and its share of traffic,
// which is 0 unless the state is "rolling". Error: not_found.
result<std::vector<document_edit>> change_version(
    config_snapshot const& config, std::string_view id, std::string_view state,
    double share);

// Removes the edits that would leave their document as it is.
void drop_unchanged(
    config_snapshot const& config, std::vector<document_edit>& edits);

// Returns a JSON array with what each edit would change: kind, name, change
// ("add", "change", "delete" or "none") and the patch (RFC 6902) from the
// document in force.
std::string diff_documents(
    config_snapshot const& config, std::vector<document_edit> const& edits);

} // namespace marjorambeam
