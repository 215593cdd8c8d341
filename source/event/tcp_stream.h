// TCP connections and listeners on the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "source/event/event_loop.h"

namespace runshelf::event {

// An IPv4 address and a port, in the form "10.1.0.8:8300".
struct Endpoint {
  std::string ip;
  uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
  auto operator<=>(const Endpoint&) const = default;  // NOLINT(modernize-use-nullptr): false alarm.

  std::string ToString() const;
  // Returns false and leaves `*endpoint` unchanged if `text` is not a valid endpoint.
  static bool Parse(std::string_view text, Endpoint* endpoint);
};

// How the reading side of a connection ended.
enum class StreamEnd {
  kClosed,  // The peer closed the connection in an orderly way.
  kReset,   // The connection was reset, or could not be established.
  // Connecting failed with ECONNREFUSED: nothing listens at the address.
  kRefused,
};

// Receives the events of a stream. The stream may be destroyed inside any call.
class StreamObserver {
 public:
  virtual ~StreamObserver() = default;
  // An outgoing connection was established.
  virtual void OnConnected() {}
  virtual void OnData(std::string_view data) = 0;
  // Called at most once, as the last event.
  virtual void OnEnd(StreamEnd end) = 0;
  // All bytes passed to Write were handed to the operating system.
  virtual void OnDrained() {}
};

// One TCP connection. Destroying the object closes the connection immediately; bytes already handed
// to the operating system are still sent.
class TcpStream {
 public:
  // Starts to connect. Bytes written before OnConnected are buffered.
  static std::unique_ptr<TcpStream> Connect(EventLoop& loop, const Endpoint& endpoint,
                                            StreamObserver* observer);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  void set_observer(StreamObserver* observer);
  void StartReading();
  void StopReading();
  // Sends as much as the operating system accepts now, and buffers the rest without limit.
  void Write(std::string_view bytes);
  // The same without a copy of the rest: `owner` keeps `bytes` valid until they are sent or the
  // stream is closed.
  void WriteShared(std::string_view bytes, std::shared_ptr<const void> owner);
  // Bytes passed to Write that have not been handed to the operating system yet.
  size_t unsent_bytes() const;
  // Whether the peer closed or reset the connection, even if the event loop has not processed that
  // yet. Returns false while unread data precedes the close. Costs a system call.
  bool PeerDisconnected() const;
  // Whether there is no unread data and the peer has neither closed nor reset the connection. Costs
  // a system call.
  bool IsIdleAndOpen() const;
  // Sends buffered data and then closes the sending side; reading continues.
  void ShutdownWriting();

 private:
  friend class TcpListener;
  struct Handle;
  explicit TcpStream(Handle* handle) : handle_(handle) {}
  // Returns the bytes that the operating system did not accept; all while earlier ones wait.
  std::string_view TryWrite(std::string_view bytes);
  Handle* handle_;
};

// Accepts connections on one address.
class TcpListener {
 public:
  using AcceptCallback = std::function<void(std::unique_ptr<TcpStream>)>;
  TcpListener(EventLoop& loop, AcceptCallback callback);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Returns zero, or a negative libuv error code. For port 0 the system chooses a port.
  int Listen(const Endpoint& endpoint);
  // Returns zero if the port cannot be determined.
  uint16_t bound_port() const;

 private:
  struct Handle;
  Handle* handle_;
};

}  // namespace runshelf::event
