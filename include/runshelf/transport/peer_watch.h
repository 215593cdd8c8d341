// Tells whether the other end of a connection has gone away while nothing is read from it.
#pragma once

namespace runshelf::transport {

// Refers to a socket that the caller keeps open for the lifetime of the watch. A peer that closed
// its sending direction counts as gone: an HTTP caller that no longer listens looks the same.
class PeerWatch {
 public:
  // Watches nothing; Closed() is always false.
  PeerWatch() = default;

  explicit PeerWatch(int descriptor) : descriptor_(descriptor) {}

  bool Closed() const;

  // The socket's file descriptor, or -1.
  int descriptor() const { return descriptor_; }

 private:
  int descriptor_ = -1;
};

}  // namespace runshelf::transport
