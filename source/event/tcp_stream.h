// TCP connections and listeners on the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "source/event/event_loop.h"

namespace runshelf::event {

// An IPv4 address and a port, parsed from "10.1.0.8:8300".
struct Endpoint {
  std::string ip;
  uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
  auto operator<=>(const Endpoint&) const = default;  // NOLINT(modernize-use-nullptr): false alarm.

  std::string ToString() const;
  // Returns false, leaving `*endpoint` alone, when `text` has another form.
  static bool Parse(std::string_view text, Endpoint* endpoint);
};

// How the reading side of a connection ended.
enum class StreamEnd {
  kClosed,  // The peer closed in an orderly way.
  kReset,   // The connection broke, or could not be made.
  // It could not be made: the machine answers that nothing listens at the address.
  kRefused,
};

// Receives what happens on a stream. The stream may be destroyed inside any call.
class StreamObserver {
 public:
  virtual ~StreamObserver() = default;
  // An outgoing connection was made.
  virtual void OnConnected() {}
  virtual void OnData(std::string_view data) = 0;
  // Called at most once; nothing follows it.
  virtual void OnEnd(StreamEnd end) = 0;
  // All bytes handed to Write were passed to the operating system.
  virtual void OnDrained() {}
};

// One TCP connection. Destroying the object closes the connection at once; bytes that the operating
// system has taken are still sent.
class TcpStream {
 public:
  // Starts to connect; bytes written before OnConnected wait for it.
  static std::unique_ptr<TcpStream> Connect(EventLoop& loop, const Endpoint& endpoint,
                                            StreamObserver* observer);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  void set_observer(StreamObserver* observer);
  void StartReading();
  void StopReading();
  void Write(std::string_view bytes);
  // Bytes handed to Write that the operating system has not taken yet.
  size_t unsent_bytes() const;
  // The peer closed or broke the connection, which may not have been read yet while other events
  // are worked off. Costs a system call. False while unread bytes lie before the end.
  bool PeerDisconnected() const;
  // Nothing lies unread, and the peer has neither closed nor broken the connection. Costs a system
  // call.
  bool IsIdleAndOpen() const;
  // Sends what is outstanding and then closes the writing side; reading goes on.
  void ShutdownWriting();

 private:
  friend class TcpListener;
  struct Handle;
  explicit TcpStream(Handle* handle) : handle_(handle) {}
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

  // Returns zero, or a negative libuv error code. Port 0 lets the system choose.
  int Listen(const Endpoint& endpoint);
  uint16_t bound_port() const;

 private:
  struct Handle;
  Handle* handle_;
};

}  // namespace runshelf::event
