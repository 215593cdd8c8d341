// A scripted TCP server for tests, which runs on its own thread.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "source/event/tcp_stream.h"

namespace runshelf::http {

// Accepts one connection at a time and calls `script` with its socket.
class RawServer {
 public:
  explicit RawServer(std::function<void(int connection)> script) : script_(std::move(script)) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address);
    listen(listener_, 8);
    socklen_t length = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    endpoint_ = {"127.0.0.1", ntohs(address.sin_port)};
    thread_ = std::thread([this] { Serve(); });
  }

  ~RawServer() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }

  const event::Endpoint& endpoint() const { return endpoint_; }
  int connections() const { return connections_.load(); }

  // Reads up to the end of a message head.
  static std::string ReadHead(int connection) {
    std::string text;
    char byte = 0;
    while (text.find("\r\n\r\n") == std::string::npos && recv(connection, &byte, 1, 0) == 1) {
      text += byte;
    }
    return text;
  }

  static void Send(int connection, const std::string& bytes) {
    send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  // Makes the socket send a reset when it is closed.
  static void Reset(int connection) {
    const linger abort{1, 0};
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
  }

 private:
  void Serve() {
    while (true) {
      const int connection = accept(listener_, nullptr, nullptr);
      if (connection < 0) return;
      ++connections_;
      script_(connection);
      close(connection);
    }
  }

  std::function<void(int)> script_;
  int listener_ = -1;
  event::Endpoint endpoint_;
  std::atomic<int> connections_{0};
  std::thread thread_;
};

}  // namespace runshelf::http
