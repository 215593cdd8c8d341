#include "source/transport/guarded_socket.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>

namespace runshelf::transport {
namespace {

// Longest single wait, so that a clock that jumps is noticed.
constexpr int kLongestPollMilliseconds = 1000;

int PollMilliseconds(Instant now, Instant deadline) {
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - now).count();
  return static_cast<int>(std::clamp<int64_t>(left, 0, kLongestPollMilliseconds));
}

class GuardedServerSocketImpl : public Poco::Net::ServerSocketImpl {
 public:
  GuardedServerSocketImpl(const Clock& clock, Duration read_allowance)
      : clock_(clock), read_allowance_(read_allowance) {}

  Poco::Net::SocketImpl* acceptConnection(Poco::Net::SocketAddress& client_address) override {
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    int descriptor = -1;
    do {
      descriptor =
          ::accept4(sockfd(), reinterpret_cast<sockaddr*>(&storage), &length, SOCK_CLOEXEC);
    } while (descriptor < 0 && errno == EINTR);
    if (descriptor < 0) {
      error();
    }
    client_address = Poco::Net::SocketAddress(reinterpret_cast<sockaddr*>(&storage), length);
    return new GuardedSocketImpl(clock_, descriptor, read_allowance_);
  }

 private:
  const Clock& clock_;
  Duration read_allowance_;
};

}  // namespace

void GuardedSocketImpl::BeginExchange(Instant deadline, PeerWatch watch) {
  deadline_ = deadline;
  watch_ = watch;
  failure_ = SocketFailure::kNone;
  bytes_sent_ = 0;
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
    : ServerSocket(new GuardedServerSocketImpl(clock, read_allowance), true) {
  // Without the last argument POCO would let a second process share the port.
  impl()->bind(address, true, false);
  impl()->listen(backlog);
}

}  // namespace runshelf::transport
