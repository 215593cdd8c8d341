// Transport of the state feed's messages between nodes.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "source/event/event_loop.h"
#include "source/event/tcp_stream.h"
#include "source/event/udp_socket.h"
#include "source/http/call_set.h"
#include "source/sidecar/feed_tree.h"

namespace runshelf::sidecar {

// A node's answer to a message of the state feed.
struct FeedAnswer {
  bool accepted = false;
  std::string body;
};

// Callbacks are always invoked later from the event loop, never from within a call. Destroying the
// transport cancels its calls.
class FeedTransport {
 public:
  // The answer is absent when none arrived in time.
  using Callback = std::function<void(std::optional<FeedAnswer>)>;

  virtual ~FeedTransport() = default;
  // Returns whether beacons of other nodes can be received.
  virtual bool ListenForBeacons(std::function<void(std::string_view)> on_beacon) = 0;
  virtual void SendBeacon(const std::string& ip_address, std::string_view beacon) = 0;
  virtual void SendChanges(const FeedReceiver& receiver, const std::string& changes,
                           Duration timeout, Callback callback) = 0;
  // Requests a node's snapshot of a prefix. `timeout` limits the time until the first byte of the
  // answer, and between its parts.
  virtual void FetchSnapshot(const event::Endpoint& source, const std::string& prefix,
                             Duration timeout, Callback callback) = 0;
};

// Sends beacons over UDP, and everything else over the pooled HTTP connections between nodes.
class NetworkFeedTransport : public FeedTransport {
 public:
  // `port`: UDP port for beacons, the same on all nodes; zero: no beacons are exchanged.
  NetworkFeedTransport(event::EventLoop& loop, http::ConnectionPool& pool, std::string ip_address,
                       uint16_t port);

  bool ListenForBeacons(std::function<void(std::string_view)> on_beacon) override;
  void SendBeacon(const std::string& ip_address, std::string_view beacon) override;
  void SendChanges(const FeedReceiver& receiver, const std::string& changes, Duration timeout,
                   Callback callback) override;
  void FetchSnapshot(const event::Endpoint& source, const std::string& prefix, Duration timeout,
                     Callback callback) override;

 private:
  std::string ip_address_;
  uint16_t port_;
  std::function<void(std::string_view)> on_beacon_;
  event::UdpSocket socket_;
  http::CallSet calls_;
};

}  // namespace runshelf::sidecar
