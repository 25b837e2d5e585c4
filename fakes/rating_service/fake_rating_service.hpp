// Stand-in for the service that rates answers: takes answers, and lists their
// ratings later.
//
// Example:
//   fake_rating_service ratings(loop, {});
//   ratings.set_quality("tagger@v2", 0.4);
//   ratings.set_faults({.delay = seconds(30), .missing_percent = 5});
//
// HTTP: `POST /v1/ratings` with {request_id, model, version, prompt_bytes,
// answer} answers 202; `GET /v1/ratings?after=N` lists at most 1000 finished
// ratings {sequence, request_id, rating} after sequence N; `PUT /quality` with
// {version: "model@version", quality}; `PUT /faults` with {delay_ms,
// missing_percent, down}. While down, both calls on ratings answer 503.
//
// A rating is the version's quality, moved by up to 0.1 by a hash of the
// request id; the same hash tells which ratings are missing.
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "base/time.hpp"
#include "event_loop/event_loop.hpp"
#include "http_server/http_server.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace marjorambeam
{

struct fake_rating_service_settings
{
    std::string address = "127.0.0.1:0";
    double quality = 0.8; // of versions without one of their own
};

// Faults that stay until they are switched off.
struct fake_rating_faults
{
    duration delay{0}; // from the answer to its rating
    std::uint64_t missing_percent = 0;
    bool is_down = false;
};

class fake_rating_service
{
public:
    // Throws std::runtime_error when the address can't be bound.
    fake_rating_service(
        ev::loop_ref loop, fake_rating_service_settings settings);
    fake_rating_service(fake_rating_service const&) = delete;
    fake_rating_service& operator=(fake_rating_service const&) = delete;
    ~fake_rating_service() = default;

    std::string url() const;
    // Address and port.
    std::string address() const;

    // `version` is "model@version"; `quality` is from 0 to 1.
    void set_quality(std::string_view version, double quality);
    void set_faults(fake_rating_faults faults);

    // Answers taken so far.
    std::uint64_t taken() const
    {
        return taken_;
    }

private:
    struct rating
    {
        std::uint64_t sequence = 0;
        std::string request_id;
        double value = 0;
    };

    void on_request(http_exchange& ex);
    void take(http_exchange& ex);
    void list(http_exchange& ex);
    void change_quality(http_exchange& ex);
    void change_faults(http_exchange& ex);
    void finish_due(steady_time now);

    fake_rating_service_settings settings_;
    fake_rating_faults faults_;
    std::map<std::string, double, std::less<>> qualities_;
    std::multimap<steady_time, rating> due_;
    std::deque<rating> finished_;
    std::uint64_t last_sequence_ = 0;
    std::uint64_t taken_ = 0;
    http_server server_;
};

} // namespace marjorambeam
