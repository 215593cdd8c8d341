// A client on a plain socket, which sends exactly the bytes that a test gives it.
#pragma once

#include <string>

#include "tests/http/raw_server.h"

namespace runshelf::http {

class RawClient {
 public:
  explicit RawClient(uint16_t port) : RawClient(event::Endpoint{"127.0.0.1", port}) {}
  explicit RawClient(const event::Endpoint& server) {
    socket_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    uv_ip4_addr(server.ip.c_str(), server.port, &address);
    connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address);
  }
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Send(const std::string& bytes) { RawServer::Send(socket_, bytes); }

  // Returns the bytes received so far; sets `*ended` once the server has closed the connection.
  std::string Receive(bool* ended) {
    char buffer[65536];
    const ssize_t count = recv(socket_, buffer, sizeof buffer, MSG_DONTWAIT);
    if (count == 0 || (count < 0 && errno == ECONNRESET)) *ended = true;
    return count > 0 ? std::string(buffer, static_cast<size_t>(count)) : std::string();
  }

  void Close() {
    if (socket_ >= 0) close(socket_);
    socket_ = -1;
  }

 private:
  int socket_ = -1;
};

}  // namespace runshelf::http
