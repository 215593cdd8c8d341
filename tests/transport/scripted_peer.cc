#include "tests/transport/scripted_peer.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <list>
#include <utility>

namespace runshelf::transport {
namespace {

const Poco::Timespan kPollInterval(0, 20'000);

// Returns the length of the first whole request in `bytes`, or 0.
size_t WholeRequestLength(const std::string& bytes) {
  const size_t head_end = bytes.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    return 0;
  }
  size_t body = 0;
  const size_t length = bytes.find("Content-Length: ");
  if (length != std::string::npos && length < head_end) {
    body = std::stoul(bytes.substr(length + 16));
  }
  const size_t total = head_end + 4 + body;
  return bytes.size() >= total ? total : 0;
}

}  // namespace

ScriptedPeer::ScriptedPeer(Script script)
    : script_(std::move(script)),
      listener_(Poco::Net::SocketAddress("127.0.0.1", 0)),
      thread_([this] { Run(); }) {}

ScriptedPeer::~ScriptedPeer() {
  stopping_ = true;
  thread_.join();
}

void ScriptedPeer::Run() {
  std::list<std::thread> threads;
  while (!stopping_) {
    if (listener_.poll(kPollInterval, Poco::Net::Socket::SELECT_READ)) {
      const int connection = ++connections_;
      threads.emplace_back(
          [this, socket = listener_.acceptConnection(), connection] { Serve(socket, connection); });
    }
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void ScriptedPeer::Serve(Poco::Net::StreamSocket socket, int connection) {
  std::string received;
  std::array<char, 4096> buffer{};
  int request_number = 0;
  try {
    while (!stopping_) {
      if (!socket.poll(kPollInterval, Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      if (count <= 0) {
        return;
      }
      received.append(buffer.data(), static_cast<size_t>(count));
      const size_t whole = WholeRequestLength(received);
      if (whole == 0) {
        continue;
      }
      ++requests_;
      const std::string request = received.substr(0, whole);
      received.erase(0, whole);
      if (!script_(socket, request, connection, ++request_number)) {
        return;
      }
    }
  } catch (const Poco::Exception&) {
    return;
  }
}

void SendAll(Poco::Net::StreamSocket& socket, const std::string& bytes) {
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

}  // namespace runshelf::transport
