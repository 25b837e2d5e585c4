// Measures one answer on its way from the upstream to the entry: length,
// checksum, sequence, tokens and usage.
//
// Example:
//   answer_meter meter(true);
//   std::string ready = meter.take(bytes); // whole events only
//   chunk.tokens = meter.take_new_tokens();
//   std::string rest = meter.finish();
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

struct XXH3_state_s;

namespace marjorambeam
{

class answer_meter
{
public:
    // `is_event_stream` answers are passed on in whole events, so that an
    // entry never delivers half an event before it resumes elsewhere.
    explicit answer_meter(bool is_event_stream = false);

    // Takes bytes from the upstream and returns the bytes to pass on now.
    std::string take(std::string_view bytes);

    // Returns the bytes held back, after the last of a whole answer; reads the
    // usage of a JSON answer.
    std::string finish();

    // Tokens in the bytes passed on since the last call.
    std::uint32_t take_new_tokens();

    std::uint64_t next_sequence()
    {
        return sequence_++;
    }
    std::uint64_t sequence() const
    {
        return sequence_;
    }
    std::uint64_t length() const
    {
        return length_;
    }
    // hash64 of all bytes passed on.
    std::uint64_t checksum() const;

    // As the upstream reported them, else as counted.
    std::uint64_t tokens_in() const
    {
        return tokens_in_;
    }
    std::uint64_t tokens_out() const
    {
        return has_usage_ ? usage_tokens_out_ : tokens_;
    }

private:
    struct state_deleter
    {
        void operator()(XXH3_state_s* state) const;
    };

    void add(std::string_view bytes);
    void count_events(std::string_view events);
    void read_usage(std::string_view json);

    bool is_event_stream_;
    std::unique_ptr<XXH3_state_s, state_deleter> hash_;
    std::string held_; // the start of an event, or a JSON body for its usage
    std::uint64_t sequence_ = 0;
    std::uint64_t length_ = 0;
    std::uint64_t tokens_ = 0;
    std::uint32_t new_tokens_ = 0;
    bool has_usage_ = false;
    std::uint64_t tokens_in_ = 0;
    std::uint64_t usage_tokens_out_ = 0;
};

} // namespace marjorambeam
