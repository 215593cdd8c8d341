// A TCP server for tests that reads whole HTTP requests and answers with raw bytes of the test's
// choice, so that broken peers can be played.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace runshelf::transport {

class ScriptedPeer {
 public:
  // Called for each request received whole, with its raw bytes; `connection` and `request_number`
  // count from 1. The connection is closed when it returns false.
  using Script = std::function<bool(Poco::Net::StreamSocket& socket, const std::string& request,
                                    int connection, int request_number)>;

  explicit ScriptedPeer(Script script);
  ~ScriptedPeer();

  std::string address() const { return listener_.address().toString(); }
  int connections() const { return connections_; }
  int requests() const { return requests_; }

 private:
  void Run();
  void Serve(Poco::Net::StreamSocket socket, int connection);

  Script script_;
  Poco::Net::ServerSocket listener_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> connections_{0};
  std::atomic<int> requests_{0};
  std::thread thread_;
};

// Sends all of `bytes`.
void SendAll(Poco::Net::StreamSocket& socket, const std::string& bytes);

}  // namespace runshelf::transport
