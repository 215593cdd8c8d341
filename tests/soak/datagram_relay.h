// Passes the datagrams of all other nodes on to one node, but for those whose way is cut.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "source/event/udp_socket.h"

namespace runshelf::soak {

class DatagramRelay {
 public:
  // Tells whether datagrams of the named node pass.
  using Passes = std::function<bool(const std::string& sender)>;

  // Listens at two ports of `proxy_ip`, which are those of `node_ip`.
  DatagramRelay(event::EventLoop& loop, const std::string& proxy_ip, const std::string& node_ip,
                uint16_t first_port, Passes passes);

  // Returns zero, or a negative libuv error code.
  int Listen();

 private:
  void PassOn(std::string_view data, uint16_t port);

  std::string proxy_ip_;
  std::string node_ip_;
  uint16_t first_port_;
  Passes passes_;
  event::UdpSocket first_;
  event::UdpSocket second_;
};

// The node that a datagram names as its sender; empty when it names none.
std::string SenderOf(std::string_view datagram);

}  // namespace runshelf::soak
