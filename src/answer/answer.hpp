// Reassembly and checks of one response at the entry, and what is left to do
// when an attempt ends before the response is whole.
//
// Example:
//   answer_assembly a("r-1", delivery::stream);
//   a.begin_attempt(1, agent_incarnation);
//   switch (a.accept(chunk))
//   {
//   case frame_verdict::accepted:
//       send_to_caller(chunk.bytes);
//       break;
//   case frame_verdict::stale:
//       ++counters["frame_stale"];
//       break;
//   case frame_verdict::corrupt:
//       act_on(decide_after_end(a.delivered(), work, run_state::ran));
//       break;
//   }
//
// Not thread-safe.
#pragma once

#include "base/id.hpp"
#include "wire/message.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

struct XXH3_state_s;

namespace marjorambeam
{

// The checksum of a response, computed piece by piece. Equals hash64() of all
// pieces together, whatever their sizes. Both ends use it. Not thread-safe.
class answer_checksum
{
public:
    answer_checksum();

    // Adds the next piece.
    void append(std::string_view bytes);

    // Returns the checksum of the pieces so far.
    std::uint64_t value() const;

private:
    struct state_deleter
    {
        void operator()(XXH3_state_s* state) const;
    };
    std::unique_ptr<XXH3_state_s, state_deleter> state_;
};

// What to do with a frame.
enum class frame_verdict : std::uint8_t
{
    accepted, // belongs to the response: deliver it
    stale,    // of another request, attempt or process: drop and count it
    corrupt   // a gap or a wrong sum: the attempt is over, `answer_corrupt`
};

// How the caller receives the response.
enum class delivery : std::uint8_t
{
    whole, // only when it is complete and checked
    stream // each piece as it is accepted
};

// What the caller has received.
struct delivered_part
{
    std::uint64_t tokens = 0;
    std::uint64_t bytes = 0;
};

// Follows one request's response over its attempts. Chunks that were accepted
// in an attempt that was then cut count as delivered when the delivery is a
// stream, and the next attempt continues after them; otherwise they are
// dropped and the next attempt starts anew. Length, sequence and checksum in
// an `answer_end` are those of its own attempt.
class answer_assembly
{
public:
    answer_assembly(std::string request_id, delivery mode);

    // Makes `attempt` by the agent process `agent` the only one whose frames
    // are accepted. Precondition: no earlier attempt had this number.
    void begin_attempt(std::uint32_t attempt, incarnation agent);

    // Ends the current attempt: every later frame of it is stale.
    void end_attempt();

    // Takes the next piece. With `corrupt`, the attempt has ended. The caller
    // delivers the bytes of an accepted piece at once when it streams.
    frame_verdict accept(answer_chunk const& chunk);

    // Takes the end of the response and checks sequence, length and checksum.
    // After `accepted` the response is whole.
    frame_verdict accept(answer_end const& end);

    // Whether a frame without an incarnation of its own (work_accepted,
    // work_refused, answer_failed), received from the process `sender`,
    // belongs to the current attempt. A false result counts as stale.
    bool is_current(
        std::string_view request_id, std::uint32_t attempt, incarnation sender);

    // What the caller has received; the next attempt's `tokens_delivered`.
    // Zero until the end when the delivery is not a stream.
    delivered_part delivered() const;

    // Whether the response has been received and checked to its end.
    bool is_whole() const
    {
        return is_whole_;
    }

    // The response's bytes. Precondition: is_whole() and not a stream.
    std::string const& body() const
    {
        return body_;
    }

    // Stale frames dropped so far.
    std::uint64_t stale_frames() const
    {
        return stale_frames_;
    }

private:
    bool matches(
        std::string_view request_id, std::uint32_t attempt,
        incarnation sender) const;
    frame_verdict drop();
    frame_verdict reject();

    std::string request_id_;
    delivery mode_;
    std::uint32_t attempt_ = 0;
    incarnation agent_ = 0;
    bool is_open_ = false;
    bool is_whole_ = false;
    std::uint64_t next_sequence_ = 0;
    std::uint64_t attempt_bytes_ = 0;
    answer_checksum checksum_;
    std::string body_;
    delivered_part delivered_;
    std::uint64_t stale_frames_ = 0;
};

// What is left to do when an attempt has ended early.
enum class end_action : std::uint8_t
{
    resume,      // a new attempt on the same version, after what was delivered
    retry_whole, // a new attempt from the start; the caller has nothing yet
    end_with_error,      // an error response; the caller has nothing yet
    end_with_error_event // the stream's last event is the error
};

// What decides whether an attempt can be repeated.
struct repeatable_work
{
    bool is_idempotent = true;
    bool can_resume = true; // model work; the output continues from tokens
    bool may_retry = true;  // by deadline, retry budget and upstreams left
};

// Returns what to do after an attempt ended with `run` and without a whole
// response. Work that may have run and is not idempotent is never repeated;
// a stream that has begun is resumed or ended with an error event, never
// started again. Thread-safe.
end_action decide_after_end(
    delivered_part const& delivered, repeatable_work const& work,
    run_state run);

} // namespace marjorambeam
