// UDP datagrams on the event loop.
#pragma once

#include <functional>
#include <string_view>

#include "source/event/event_loop.h"
#include "source/event/tcp_stream.h"

namespace runshelf::event {

// Sends and receives datagrams on one address. Datagrams that cannot be sent immediately are
// dropped.
class UdpSocket {
 public:
  using ReceiveCallback = std::function<void(std::string_view)>;
  UdpSocket(EventLoop& loop, ReceiveCallback callback);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  // Returns zero, or a negative libuv error code.
  int Bind(const Endpoint& endpoint);
  // Drops datagrams of more than 8192 bytes.
  void Send(const Endpoint& to, std::string_view data);

 private:
  struct Handle;
  Handle* handle_;
};

}  // namespace runshelf::event
