// One accepted connection of a Server.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "source/http/server.h"

namespace runshelf::http {

// Reads one request at a time; later (pipelined) bytes are buffered until its answer is complete.
// Owned by the server and, while a callback runs, by that callback.
class ServerConnection : public event::StreamObserver,
                         public ParserObserver,
                         public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(Server* server, std::unique_ptr<event::TcpStream> stream);
  void Start();
  // Drops the reference to the server, which is being destroyed.
  void Detach();

  void OnData(std::string_view data) override;
  void OnEnd(event::StreamEnd end) override;
  void OnDrained() override;

  void OnRequestHead(RequestHead&& head) override;
  void OnBody(std::string_view data) override;
  void OnMessageComplete(bool keep_alive) override;

 private:
  friend class ServerExchange;

  void Consume();
  void DispatchRequest();
  void RefuseRequest(int status);
  // The answer of the current exchange is complete.
  void OnAnswerComplete();
  void CloseGracefully();
  void Close();
  void OnTimeout();
  void Write(std::string_view bytes);

  Server* server_;
  std::unique_ptr<event::TcpStream> stream_;
  Parser parser_;
  event::Timer timer_;
  Request request_;
  std::string input_;  // Received and not parsed yet.
  std::shared_ptr<ServerExchange> exchange_;
  bool request_complete_ = false;
  bool keep_alive_ = true;
  bool body_too_large_ = false;
  bool consuming_ = false;
  bool lingering_ = false;  // After the last answer: discards input until the client closes.
};

}  // namespace runshelf::http
