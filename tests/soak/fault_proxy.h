// A TCP proxy on the loopback interface that misbehaves on demand.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "source/event/event_loop.h"
#include "source/event/tcp_stream.h"

namespace runshelf::soak {

class FaultProxy {
 public:
  enum class Mode {
    kPass,          // Bytes pass both ways at once.
    kDelay,         // Bytes pass late.
    kReset,         // Connections are broken, new ones as well.
    kSilent,        // Nothing passes; connections stay open.
    kForwardOnly,   // Bytes pass to the target, none come back.
    kBackwardOnly,  // Bytes pass to the caller, none to the target.
  };

  FaultProxy(event::EventLoop& loop, event::Endpoint target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Listens on a free port of `ip`; returns zero or a negative libuv error code.
  int Listen(const std::string& ip);
  event::Endpoint endpoint() const { return {ip_, listener_.bound_port()}; }

  // Connections on which bytes were held back are broken when the fault ends: on a real network
  // they would be late or lost, never out of order.
  void SetMode(Mode mode, Duration delay = Duration(0));
  Mode mode() const { return mode_; }
  size_t connections() const { return pairs_.size(); }

 private:
  class Pair;

  void Accept(std::unique_ptr<event::TcpStream> stream);
  void Remove(const Pair* pair);
  void BreakAll();

  event::EventLoop& loop_;
  event::Endpoint target_;
  std::string ip_;
  event::TcpListener listener_;
  std::list<std::unique_ptr<Pair>> pairs_;
  Mode mode_ = Mode::kPass;
  Duration delay_{0};
};

}  // namespace runshelf::soak
