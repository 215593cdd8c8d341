// Forwards the datagrams of all other nodes to one node, except from nodes whose path is blocked.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "source/event/udp_socket.h"

namespace runshelf::soak {

class DatagramRelay {
 public:
  // Returns whether datagrams from the named node are forwarded.
  using Passes = std::function<bool(const std::string& sender)>;

  // Listens at `first_port` and the next port of `proxy_ip`; forwards to the same ports of
  // `node_ip`.
  DatagramRelay(event::EventLoop& loop, const std::string& proxy_ip, const std::string& node_ip,
                uint16_t first_port, Passes passes);

  // Returns 0, or a negative libuv error code.
  int Listen();

 private:
  void Forward(std::string_view data, uint16_t port);

  std::string proxy_ip_;
  std::string node_ip_;
  uint16_t first_port_;
  Passes passes_;
  event::UdpSocket first_;
  event::UdpSocket second_;
};

// Returns the node that a datagram names as its sender; empty if it names none.
std::string SenderOf(std::string_view datagram);

}  // namespace runshelf::soak
