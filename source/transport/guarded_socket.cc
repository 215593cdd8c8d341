#include "source/transport/guarded_socket.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Thread.h>
#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

namespace runshelf::transport {
namespace {

// Longest single wait, so that a clock that jumps is noticed.
constexpr int kLongestPollMilliseconds = 1000;

int PollMilliseconds(Instant now, Instant deadline) {
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - now).count();
  return static_cast<int>(std::clamp<int64_t>(left, 0, kLongestPollMilliseconds));
}

constexpr std::string_view kEndOfHead = "\r\n\r\n";

// A stopped listener stays readable: its owner's loop must not spin.
constexpr int64_t kPauseOfStoppedListener = 50;  // Milliseconds.

// Flags in byte 13 of the TCP header.
constexpr uint32_t kFlagsOffset = 13;
constexpr uint32_t kSynAck = 0x12;
constexpr uint32_t kSyn = 0x02;

}  // namespace

class GuardedServerSocketImpl : public Poco::Net::ServerSocketImpl {
 public:
  GuardedServerSocketImpl(const Clock& clock, Duration read_allowance)
      : clock_(clock),
        read_allowance_(read_allowance),
        open_connections_(std::make_shared<ConnectionCount>(0)) {}

  Poco::Net::SocketImpl* acceptConnection(Poco::Net::SocketAddress& client_address) override {
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    int descriptor = -1;
    do {
      descriptor =
          ::accept4(sockfd(), reinterpret_cast<sockaddr*>(&storage), &length, SOCK_CLOEXEC);
    } while (descriptor < 0 && errno == EINTR);
    if (descriptor < 0) {
      const int code = errno;
      if (stopped_) {
        Poco::Thread::sleep(kPauseOfStoppedListener);
      }
      error(code);
    }
    client_address = Poco::Net::SocketAddress(reinterpret_cast<sockaddr*>(&storage), length);
    return new GuardedSocketImpl(clock_, descriptor, read_allowance_, open_connections_);
  }

  void StopListening() {
    stopped_ = true;
    ::shutdown(sockfd(), SHUT_RDWR);
  }

  int64_t open_connections() const { return *open_connections_; }

 private:
  const Clock& clock_;
  const Duration read_allowance_;
  const std::shared_ptr<ConnectionCount> open_connections_;
  std::atomic<bool> stopped_{false};
};

GuardedSocketImpl::GuardedSocketImpl(const Clock& clock, int descriptor, Duration read_allowance,
                                     std::shared_ptr<ConnectionCount> count)
    : StreamSocketImpl(descriptor),
      clock_(clock),
      read_allowance_(read_allowance),
      count_(std::move(count)) {
  ++*count_;
}

GuardedSocketImpl::~GuardedSocketImpl() {
  if (count_ != nullptr) {
    --*count_;
  }
}

void GuardedSocketImpl::BeginExchange(Instant deadline, PeerWatch watch) {
  deadline_ = deadline;
  watch_ = watch;
  failure_ = SocketFailure::kNone;
  bytes_sent_ = 0;
  received_head_.clear();
  head_recorded_ = false;
  received_tail_.clear();
}

void GuardedSocketImpl::EndExchange() {
  deadline_.reset();
  watch_ = PeerWatch();
}

int GuardedSocketImpl::receiveBytes(void* buffer, int length, int flags) {
  WaitFor(POLLIN, ReadDeadline());
  ssize_t received = 0;
  do {
    received = ::recv(sockfd(), buffer, static_cast<size_t>(length), flags);
  } while (received < 0 && errno == EINTR);
  if (received < 0) {
    Fail(SocketFailure::kError);
  }
  if (received == 0 && length > 0) {
    failure_ = SocketFailure::kEndOfStream;
  }
  if ((flags & MSG_PEEK) == 0) {
    RecordHead(static_cast<const char*>(buffer), static_cast<size_t>(received));
    RecordTail(static_cast<const char*>(buffer), static_cast<size_t>(received));
  }
  return static_cast<int>(received);
}

int GuardedSocketImpl::sendBytes(const void* buffer, int length, int flags) {
  const char* data = static_cast<const char*>(buffer);
  const std::optional<Instant> deadline =
      deadline_.has_value() || !read_allowance_.has_value()
          ? deadline_
          : std::optional<Instant>(clock_.Now() + *read_allowance_);
  int sent = 0;
  while (sent < length) {
    WaitFor(POLLOUT, deadline);
    const ssize_t written = ::send(sockfd(), data + sent, static_cast<size_t>(length - sent),
                                   flags | MSG_NOSIGNAL | MSG_DONTWAIT);
    if (written < 0 && errno != EINTR && errno != EAGAIN) {
      Fail(SocketFailure::kError);
    }
    if (written > 0) {
      sent += static_cast<int>(written);
      bytes_sent_ += static_cast<uint64_t>(written);
    }
  }
  allowance_end_.reset();
  return sent;
}

std::optional<Instant> GuardedSocketImpl::ReadDeadline() {
  if (!read_allowance_.has_value()) {
    return deadline_;
  }
  if (!allowance_end_.has_value()) {
    allowance_end_ = clock_.Now() + *read_allowance_;
  }
  return allowance_end_;
}

void GuardedSocketImpl::WaitFor(short events, std::optional<Instant> deadline) {
  std::array<pollfd, 2> polled{pollfd{sockfd(), events, 0},
                               pollfd{watch_.descriptor(), POLLRDHUP, 0}};
  while (true) {
    const Instant now = clock_.Now();
    const int timeout =
        deadline.has_value() ? PollMilliseconds(now, *deadline) : kLongestPollMilliseconds;
    const int ready = ::poll(polled.data(), polled.size(), timeout);
    if (ready < 0 && errno != EINTR) {
      Fail(SocketFailure::kError);
    }
    // The socket goes first: an answer that is there is taken even when the caller just left.
    if (ready > 0 && polled[0].revents != 0) {
      return;
    }
    if (ready > 0 && polled[1].revents != 0) {
      Fail(SocketFailure::kPeerGone);
    }
    if (deadline.has_value() && clock_.Now() >= *deadline) {
      Fail(SocketFailure::kTimedOut);
    }
  }
}

void GuardedSocketImpl::RecordHead(const char* data, size_t length) {
  // Accepted connections have no exchanges.
  if (head_recorded_ || !deadline_.has_value()) {
    return;
  }
  const size_t overlap = std::min(received_head_.size(), kEndOfHead.size() - 1);
  const size_t searched_from = received_head_.size() - overlap;
  received_head_.append(data, std::min(length, kHeadBytes - received_head_.size()));
  const size_t end = received_head_.find(kEndOfHead, searched_from);
  if (end != std::string::npos) {
    received_head_.resize(end);
  }
  head_recorded_ = end != std::string::npos || received_head_.size() == kHeadBytes;
}

void GuardedSocketImpl::RecordTail(const char* data, size_t length) {
  const size_t kept = std::min(length, kTailBytes);
  received_tail_.append(data + length - kept, kept);
  if (received_tail_.size() > kTailBytes) {
    received_tail_.erase(0, received_tail_.size() - kTailBytes);
  }
}

void GuardedSocketImpl::Fail(SocketFailure failure) {
  const int code = errno;
  failure_ = failure;
  if (failure == SocketFailure::kTimedOut) {
    throw Poco::TimeoutException("deadline of the exchange passed");
  }
  if (failure == SocketFailure::kPeerGone) {
    throw Poco::Net::ConnectionAbortedException("the caller went away");
  }
  error(code);
  throw Poco::IOException("socket failed");
}

GuardedServerSocket::GuardedServerSocket(const Clock& clock,
                                         const Poco::Net::SocketAddress& address, int backlog,
                                         Duration read_allowance)
    : GuardedServerSocket(new GuardedServerSocketImpl(clock, read_allowance)) {
  // Without the last argument POCO would let a second process share the port.
  impl()->bind(address, true, false);
  impl()->listen(backlog);
}

GuardedServerSocket::GuardedServerSocket(GuardedServerSocketImpl* guard)
    : ServerSocket(guard, true), guard_(*guard) {}

// A packet filter on a listening socket sees the packets of handshakes, from the TCP header on. It
// drops those that ask for a new connection and lets those that complete a handshake pass.
void GuardedServerSocket::IgnoreNewConnections() {
  std::array<sock_filter, 5> program = {
      sock_filter{BPF_LD | BPF_B | BPF_ABS, 0, 0, kFlagsOffset},
      sock_filter{BPF_ALU | BPF_AND | BPF_K, 0, 0, kSynAck},
      sock_filter{BPF_JMP | BPF_JEQ | BPF_K, 0, 1, kSyn},
      sock_filter{BPF_RET | BPF_K, 0, 0, 0},
      sock_filter{BPF_RET | BPF_K, 0, 0, UINT32_MAX},
  };
  const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
  // On failure a connection that is opened at the instant of StopListening may be reset.
  ::setsockopt(guard_.sockfd(), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
}

bool GuardedServerSocket::HasWaitingConnection() const {
  pollfd polled{guard_.sockfd(), POLLIN, 0};
  return ::poll(&polled, 1, 0) > 0;
}

void GuardedServerSocket::StopListening() { guard_.StopListening(); }

int64_t GuardedServerSocket::open_connections() const { return guard_.open_connections(); }

}  // namespace runshelf::transport
