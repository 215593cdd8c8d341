// A server for tests that answers each request with the bytes that a script returns.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "source/event/event_loop.h"
#include "source/event/tcp_stream.h"

namespace runshelf::platform_adapter {

// Takes what arrives at once for one request. Runs on the test's event loop.
class ScriptedServer {
 public:
  using Script = std::function<std::string(const std::string& request)>;

  explicit ScriptedServer(event::EventLoop& loop)
      : listener_(loop, [this](std::unique_ptr<event::TcpStream> stream) {
          connections_.push_back(std::make_unique<Connection>(this, std::move(stream)));
        }) {
    listener_.Listen({"127.0.0.1", 0});
  }

  event::Endpoint endpoint() const { return {"127.0.0.1", listener_.bound_port()}; }
  void set_script(Script script) { script_ = std::move(script); }
  // Number of requests whose first line contains `text`.
  size_t Requests(const std::string& text) const {
    size_t count = 0;
    for (const std::string& line : first_lines_) count += line.find(text) != std::string::npos;
    return count;
  }
  // Connections that the other side has not closed.
  size_t open() const {
    size_t count = 0;
    for (const auto& connection : connections_) count += connection->open() ? 1 : 0;
    return count;
  }

 private:
  class Connection : public event::StreamObserver {
   public:
    Connection(ScriptedServer* server, std::unique_ptr<event::TcpStream> stream)
        : server_(server), stream_(std::move(stream)) {
      stream_->set_observer(this);
      stream_->StartReading();
    }

    bool open() const { return stream_ != nullptr; }

    void OnData(std::string_view data) override {
      const std::string request(data);
      server_->first_lines_.push_back(request.substr(0, request.find("\r\n")));
      stream_->Write(server_->script_(request));
    }
    void OnEnd(event::StreamEnd) override { stream_.reset(); }

   private:
    ScriptedServer* server_;
    std::unique_ptr<event::TcpStream> stream_;
  };

  event::TcpListener listener_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::list<std::string> first_lines_;
  Script script_;
};

}  // namespace runshelf::platform_adapter
