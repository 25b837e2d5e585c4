// Stand-in for the network between two daemons: relays TCP connections to one
// target, with faults that are switched at run time.
//
// Example:
//   fake_relay relay(loop, {.target = "127.0.0.1:7000"});
//   connect_to(relay.address());
//   relay.silence_existing(); // or PUT /faults {"silence_existing":true}
//
// HTTP on the admin address: PUT /faults with any of the members
// "silence_existing", "cut_existing" (acts once on the open connections),
// "refuse_new", "delay_ms", "piece_bytes" and "target" (stay until changed; a
// target given here is used by new connections, for a daemon that is started
// after its relay); GET /counts. Datagrams to the same port are passed to the
// target, because daemons use one address for both; nothing is returned to
// their senders.
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "base/time.hpp"
#include "http_server/http_server.hpp"

#include <cstdint>
#include <ev++.h>
#include <memory>
#include <string>
#include <vector>

namespace marjorambeam
{

struct fake_relay_settings
{
    std::string listen = "127.0.0.1:0";
    std::string target;
    std::string admin_listen = "127.0.0.1:0";
};

struct fake_relay_counts
{
    std::uint64_t accepted = 0; // connections
    std::uint64_t silenced = 0;
    std::uint64_t cut = 0;
};

class relay_connection;

class fake_relay
{
public:
    // Throws std::runtime_error when an address can't be bound.
    fake_relay(ev::loop_ref loop, fake_relay_settings settings);
    ~fake_relay();
    fake_relay(fake_relay const&) = delete;
    fake_relay& operator=(fake_relay const&) = delete;

    // Address and port of the relay, and of its HTTP interface.
    std::string const& address() const
    {
        return settings_.listen;
    }
    std::string admin_address() const;

    // Open connections pass no more bytes and are not closed.
    void silence_existing();
    // Open connections are closed.
    void cut_existing();
    // Whether connecting fails from now on.
    void refuse_new(bool is_refusing);
    // New connections go to `address`; false when it is not one.
    bool set_target(std::string_view address);
    // Bytes read from now on are passed on after `delay`.
    void set_delay(duration delay);
    // The start of what the target sends at once is passed on in pieces of
    // `bytes`, a millisecond after one another; 0: as it was read.
    void set_piece_bytes(std::size_t bytes);

    fake_relay_counts const& counts() const
    {
        return counts_;
    }

private:
    void listen();
    void on_connection(ev::io&, int);
    void on_datagram(ev::io&, int);
    void on_request(http_exchange& ex);
    void change_faults(http_exchange& ex);

    ev::loop_ref loop_;
    fake_relay_settings settings_;
    fake_relay_counts counts_;
    duration delay_{0};
    std::size_t piece_bytes_ = 0;
    bool is_refusing_ = false;
    int fd_ = -1; // bound all the time, listening unless refusing
    int datagram_fd_ = -1;
    ev::io accept_;
    ev::io datagram_;
    std::vector<std::unique_ptr<relay_connection>> connections_;
    http_server admin_;
};

} // namespace marjorambeam
