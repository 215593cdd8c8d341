// Clients that do not behave: connections that send the same bytes at once.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "source/event/event_loop.h"
#include "source/event/tcp_stream.h"

namespace runshelf::overload {

// What each client sends: the head, and then the piece until `body_bytes` of the body were sent.
struct RudeRequest {
  std::string head;
  std::string piece = std::string(size_t{64} * 1024, 'x');
  size_t body_bytes = 0;         // Counts all bytes behind the head.
  bool awaits_continue = false;  // Sends the body only after "100 Continue".
};

class Crowd {
 public:
  // Opens the connections. Each stays open once everything was sent, until the server closes it.
  Crowd(event::EventLoop& loop, const event::Endpoint& server, size_t clients, RudeRequest request);
  ~Crowd();

  // Whether each client has sent everything, has received an answer, or was closed by the server.
  bool sent() const;
  // Number of connections that the server has not closed.
  size_t open() const;
  // Number of answers with this status.
  size_t answers(int status) const;

 private:
  class Client;

  RudeRequest request_;
  std::vector<std::unique_ptr<Client>> clients_;
};

}  // namespace runshelf::overload
