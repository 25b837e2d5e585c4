// Ledger segments and the bill that they add up to.
//
// Example:
//   bill b;
//   for (stored_object const& it : segments)
//       if (auto r = b.add(it.value); !r)
//           report(it.name, r.error());
//   customer_total t = b.total("havbris");
//
// Not thread-safe unless a function says so.
#pragma once

#include "billing/usage_record.hpp"

#include <map>

namespace marjorambeam
{

// Kind of the ledger's objects in the object API.
constexpr std::string_view ledger_kind = "ledger";

// Largest text of a segment; the object API takes values up to 1 MB.
constexpr std::size_t max_segment_bytes = 900'000;

// An immutable object of the ledger.
struct ledger_segment
{
    std::string name; // "INCARNATION.SEQUENCE"
    std::string text; // JSON
};

// Returns the name of a segment; names of one poster sort by sequence.
// Thread-safe.
std::string segment_name(incarnation poster, std::uint64_t sequence);

// Bytes that a record takes in a segment. Thread-safe.
std::size_t encoded_bytes(usage_record const& r);

// Returns the segment that holds `records`. Precondition: the sum of
// encoded_bytes() over the records is at most max_segment_payload_bytes.
// Thread-safe.
ledger_segment make_segment(
    incarnation poster, std::uint64_t sequence,
    std::span<usage_record const> records);

// Capacity of a segment for encoded records.
constexpr std::size_t max_segment_payload_bytes = max_segment_bytes - 200;

// The amount that one customer owes and its usage.
struct customer_total
{
    std::uint64_t requests = 0;  // bill lines, truncated ones included
    std::uint64_t truncated = 0; // of these, at a price of zero
    std::uint64_t tokens_in = 0;
    std::uint64_t tokens_out = 0;
    micro_credits cost = 0;

    bool operator==(customer_total const&) const = default;
};

// The merge of segments: one line for each request id, whatever the order of
// the segments and however often one is added.
class bill
{
public:
    // Takes the records of a segment's text. Error: bad_document; then nothing
    // was taken.
    result<void> add(std::string_view segment_text);

    // Takes one record; see supersedes() for what happens when the request id
    // has a line already.
    void add(usage_record record);

    // All lines by request id.
    std::map<std::string, usage_record> const& lines() const
    {
        return lines_;
    }

    // Returns the total of one customer.
    customer_total total(std::string_view customer) const;

    // Returns the totals of all customers.
    std::map<std::string, customer_total> totals() const;

private:
    std::map<std::string, usage_record> lines_;
};

} // namespace marjorambeam
