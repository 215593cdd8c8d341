// A TCP proxy on the loopback interface that injects network faults.
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

// Forwards connections to one target and delays, drops, resets or duplicates traffic on request.
class FaultProxy {
 public:
  enum class Mode {
    kPass,          // Forwards both directions immediately.
    kDelay,         // Forwards both directions with a delay.
    kReset,         // Resets open and new connections.
    kSilent,        // Forwards nothing; connections stay open.
    kForwardOnly,   // Forwards to the target only.
    kBackwardOnly,  // Forwards to the caller only.
    kResetNew,      // Resets new connections at once; open ones work.
  };

  FaultProxy(event::EventLoop& loop, event::Endpoint target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Listens on a free port of `ip`; returns zero or a negative libuv error code.
  int Listen(const std::string& ip);
  // Closes the listening socket, so that new connections are refused; open ones work.
  void StopListening() { listener_.reset(); }
  // Listens again on the previous port; returns zero or a negative libuv error code.
  int ListenAgain();
  event::Endpoint endpoint() const { return {ip_, port_}; }

  // Identifies the source of a connection. `port_of_latest` returns the caller's port and is called
  // while a connection is accepted. `source_of` maps that port to a source, or to kUnknownSource,
  // and is called only when the source of a connection is needed.
  static constexpr int kUnknownSource = -1;
  struct Identification {
    std::function<uint16_t()> port_of_latest;
    std::function<int(uint16_t port)> source_of;
  };
  void set_identification(Identification identification) {
    identification_ = std::move(identification);
  }

  // Sets the mode of all connections. Connections on which data was dropped are closed when the
  // mode changes: TCP may deliver data late or not at all, but never with gaps.
  void SetMode(Mode mode, Duration delay = Duration(0));
  // Sets the mode for one source, which overrides the general mode; kPass removes the override.
  void SetModeFrom(int source, Mode mode, Duration delay = Duration(0));
  // Stalls all open connections for good, without forwarding even their close; new ones work.
  void SilenceOpenConnections();
  // How a response of the target is sent a second time. A connection carries one exchange at a
  // time, so everything the target sends between two requests is one response.
  struct Repetition {
    // True: `after` counts from the next request on the connection. False: it counts from the
    // response, regardless of requests in the meantime.
    bool from_next_request = false;
    Duration after{0};
    size_t first_piece = 0;      // Bytes sent ahead of the rest; zero: all at once.
    Duration between_pieces{0};  // Delay of the rest; data of the target queues behind it.
    std::string followed_by;     // Bytes appended to the repeated response.
  };
  // Called at the start of each response; nullopt: the response is not repeated. An empty function
  // turns repetitions off and cancels pending ones.
  using NextRepetition = std::function<std::optional<Repetition>()>;
  void set_repetitions(NextRepetition next);
  // Number of repeated responses.
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
  std::map<int, Fault> faults_from_;  // Modes by source.
  NextRepetition next_repetition_;
  size_t repeated_ = 0;
};

}  // namespace runshelf::soak
