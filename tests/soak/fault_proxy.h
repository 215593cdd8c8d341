// A TCP proxy on the loopback interface that misbehaves on demand.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

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
    kResetNew,      // New connections are reset at once; those that are open pass.
  };

  FaultProxy(event::EventLoop& loop, event::Endpoint target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Listens on a free port of `ip`; returns zero or a negative libuv error code.
  int Listen(const std::string& ip);
  // New connections are refused, as by a machine where nothing listens; those that are open pass.
  void StopListening() { listener_.reset(); }
  // Listens again on the former port; returns zero or a negative libuv error code.
  int ListenAgain();
  event::Endpoint endpoint() const { return {ip_, port_}; }

  // Tells the connections of several sources apart. `port_of_latest` is asked while a connection is
  // accepted, `source_of` when it matters where the connection from that port comes from;
  // kUnknownSource when it cannot tell.
  static constexpr int kUnknownSource = -1;
  struct Identification {
    std::function<uint16_t()> port_of_latest;
    std::function<int(uint16_t port)> source_of;
  };
  void set_identification(Identification identification) {
    identification_ = std::move(identification);
  }

  // Of all connections. Those on which bytes were held back are broken when the fault ends: on a
  // real network they would be late or lost, never out of order.
  void SetMode(Mode mode, Duration delay = Duration(0));
  // Of the connections of one source; goes before the mode of all. kPass takes it away.
  void SetModeFrom(int source, Mode mode, Duration delay = Duration(0));
  // The connections that are open now say nothing more, not even that they end; new ones pass.
  void SilenceOpenConnections();
  // How an answer of the target is said a second time. A connection carries one exchange at a time,
  // so what the target says between two requests is one answer.
  struct Repetition {
    bool from_next_request =
        false;  // Its time counts from the next request on the connection, else
                // from the answer, whether a request comes meanwhile or not.
    Duration after{0};
    size_t first_piece = 0;      // Bytes that come before the others; zero: all at once.
    Duration between_pieces{0};  // What the target says meanwhile comes after them.
    std::string followed_by;     // Bytes right behind it.
  };
  // Asked at the beginning of each answer; nullopt: it is said once. When empty, none is said
  // again.
  using NextRepetition = std::function<std::optional<Repetition>()>;
  void set_repetitions(NextRepetition next);
  // Answers that were said a second time.
  size_t repeated() const { return repeated_; }
  Mode mode() const { return fault_.mode; }
  Mode ModeOf(int source) const { return FaultFrom(source).mode; }
  size_t connections() const { return pairs_.size(); }

 private:
  class Pair;
  struct Fault {
    Mode mode = Mode::kPass;
    Duration delay{0};
  };

  const Fault& FaultFrom(int source) const;
  const Fault& FaultOf(Pair* pair) const;
  void Accept(std::unique_ptr<event::TcpStream> stream);
  void Remove(const Pair* pair);

  event::EventLoop& loop_;
  event::Endpoint target_;
  std::string ip_;
  uint16_t port_ = 0;
  std::unique_ptr<event::TcpListener> listener_;
  std::list<std::unique_ptr<Pair>> pairs_;
  Identification identification_;
  Fault fault_;
  std::map<int, Fault> faults_from_;  // By source.
  NextRepetition next_repetition_;
  size_t repeated_ = 0;
};

}  // namespace runshelf::soak
