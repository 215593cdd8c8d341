// A stream socket whose reads and writes together keep one deadline, and which records what POCO's
// HTTP streams hide: whether the peer ended the stream early, and whether any byte was handed over.
//
// POCO restarts its receive timeout with every byte, so that a peer that sends one byte now and
// then could hold a thread for ever. Here the deadline covers the whole exchange.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "runshelf/common/clock.h"
#include "runshelf/transport/peer_watch.h"

namespace runshelf::transport {

enum class SocketFailure { kNone, kEndOfStream, kTimedOut, kPeerGone, kError };

// How many connections a listening socket has accepted that are not closed yet.
using ConnectionCount = std::atomic<int64_t>;

// Not safe for use by several threads at once.
class GuardedSocketImpl : public Poco::Net::StreamSocketImpl {
 public:
  // A socket that is not connected yet.
  explicit GuardedSocketImpl(const Clock& clock) : clock_(clock) {}

  // Takes over an accepted descriptor and counts it in `count` while the object lives. Everything
  // read between two writes must arrive within `read_allowance`, counted from the first read.
  GuardedSocketImpl(const Clock& clock, int descriptor, Duration read_allowance,
                    std::shared_ptr<ConnectionCount> count);

  // Starts an exchange that must end by `deadline`, and is given up once `watch` reports its peer
  // gone. Resets what has been recorded.
  void BeginExchange(Instant deadline, PeerWatch watch);

  // Ends the exchange: no deadline applies until the next one.
  void EndExchange();

  SocketFailure failure() const { return failure_; }
  uint64_t bytes_sent() const { return bytes_sent_; }

  // The last bytes received, at most kTailBytes.
  std::string_view received_tail() const { return received_tail_; }

  // The first bytes received in the exchange, up to the empty line that ends a head; at most
  // kHeadBytes.
  std::string_view received_head() const { return received_head_; }

  int receiveBytes(void* buffer, int length, int flags) override;
  int sendBytes(const void* buffer, int length, int flags) override;

  static constexpr size_t kTailBytes = 8;
  static constexpr size_t kHeadBytes = size_t{64} << 10;

 protected:
  ~GuardedSocketImpl() override;

 private:
  void WaitFor(short events, std::optional<Instant> deadline);
  std::optional<Instant> ReadDeadline();
  void RecordHead(const char* data, size_t length);
  void RecordTail(const char* data, size_t length);
  [[noreturn]] void Fail(SocketFailure failure);

  const Clock& clock_;
  std::optional<Duration> read_allowance_;
  std::shared_ptr<ConnectionCount> count_;  // Null unless accepted.
  std::optional<Instant> allowance_end_;
  std::optional<Instant> deadline_;
  PeerWatch watch_;
  SocketFailure failure_ = SocketFailure::kNone;
  uint64_t bytes_sent_ = 0;
  std::string received_head_;
  bool head_recorded_ = false;
  std::string received_tail_;
};

class GuardedServerSocketImpl;

// A listening socket whose accepted connections are GuardedSocketImpl with a read allowance.
class GuardedServerSocket : public Poco::Net::ServerSocket {
 public:
  // Binds and listens. Throws Poco::Exception when the address cannot be bound.
  GuardedServerSocket(const Clock& clock, const Poco::Net::SocketAddress& address, int backlog,
                      Duration read_allowance);

  // From now on requests for new connections get no answer; those whose handshake is under way can
  // still be accepted. The caller's system asks again after a second or so.
  void IgnoreNewConnections();

  // Whether a connection waits to be accepted.
  bool HasWaitingConnection() const;

  // Refuses all connections from now on, also those that wait to be accepted. The address stays
  // bound until the socket is closed.
  void StopListening();

  int64_t open_connections() const;

 private:
  explicit GuardedServerSocket(GuardedServerSocketImpl* guard);

  GuardedServerSocketImpl& guard_;  // Owned by the base class.
};

}  // namespace runshelf::transport
