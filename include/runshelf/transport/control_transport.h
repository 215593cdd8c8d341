// Carries the control messages between daemons: one UDP datagram each, or a POST over TCP to the
// same address when a message is large. Delivery is not guaranteed; the senders repeat what
// matters.
#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "runshelf/common/clock.h"

namespace runshelf::transport {

// Messages larger than this go over TCP.
constexpr size_t kMaxDatagramBytes = 8192;

constexpr size_t kMaxControlMessageBytes = size_t{16} << 20;

struct ControlCounters {
  uint64_t datagrams_sent = 0;
  uint64_t posts_sent = 0;
  uint64_t bytes_sent = 0;
  uint64_t messages_received = 0;
  uint64_t bytes_received = 0;
  uint64_t dropped = 0;  // Not sent: queue full, bad address, or refused by the network.
};

// Safe for use by several threads at once.
class ControlTransport {
 public:
  // Called with each message, by several threads at once.
  using Receiver = std::function<void(std::string message)>;

  // Binds `address` ("ip:port", port 0 picks a free one) for UDP and TCP. `clock` must outlive the
  // transport. kUnavailable when the address cannot be bound.
  static absl::StatusOr<std::unique_ptr<ControlTransport>> Start(const Clock& clock,
                                                                 const std::string& address,
                                                                 Receiver receiver);

  // Stops as Stop() does.
  virtual ~ControlTransport() = default;

  // Sends `message` to `address` ("ip:port"). Never waits for the network; messages beyond a
  // bounded queue are dropped.
  virtual void Send(const std::string& address, const std::string& message) = 0;

  // The bound address, "ip:port".
  virtual std::string address() const = 0;

  virtual ControlCounters counters() const = 0;

  // Ends all threads; the receiver is not called after it returns.
  virtual void Stop() = 0;
};

}  // namespace runshelf::transport
