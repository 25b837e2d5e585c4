// A server whose answers a test writes byte by byte.
#pragma once

#include "http_stream/tcp_stream.hpp"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

namespace marjorambeam::test
{

// Answers the first bytes of each connection as its script does, and reads
// nothing behind them. Not thread-safe.
class raw_server
{
public:
    using script = std::function<void(tcp_stream&)>;

    // Answers with `text` and ends the connection.
    static script answering(std::string text)
    {
        return [text = std::move(text)](tcp_stream& s)
        {
            s.send(text);
            s.close_after_output();
        };
    }

    raw_server(ev::loop_ref loop, script answer)
        : listener_(
              loop, "127.0.0.1:0", {},
              [this,
               answer = std::move(answer)](std::shared_ptr<tcp_stream> const& s)
              {
                  streams_.push_back(s);
                  s->on_data(
                      [answer, s = s.get()]
                      {
                          s->pause(true);
                          answer(*s);
                      });
              })
    {
    }
    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(listener_.port()) + "/";
    }

private:
    std::list<std::shared_ptr<tcp_stream>> streams_;
    tcp_listener listener_;
};

} // namespace marjorambeam::test
