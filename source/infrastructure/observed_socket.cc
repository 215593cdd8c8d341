#include "source/infrastructure/observed_socket.h"

#include <Poco/Exception.h>
#include <Poco/Net/Socket.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>

namespace runshelf::infrastructure {
namespace {

constexpr Duration kStopCheckInterval = std::chrono::milliseconds(100);

}  // namespace

int ObservedSocket::sendBytes(const void* buffer, int length, int flags) {
  has_sent_ = true;
  // A peer that is gone must give an error, and not end the process by SIGPIPE.
  return StreamSocketImpl::sendBytes(buffer, length, flags | MSG_NOSIGNAL);
}

int ObservedSocket::receiveBytes(void* buffer, int length, int flags) {
  WaitUntilReadable();
  return StreamSocketImpl::receiveBytes(buffer, length, flags);
}

void ObservedSocket::WaitUntilReadable() {
  while (true) {
    if (stop_ && stop_()) {
      stopped_ = true;
      throw Poco::TimeoutException("stopped by the caller");
    }
    Duration wait = kStopCheckInterval;
    if (deadline_.has_value()) wait = std::min(wait, *deadline_ - clock_.Now());
    if (wait <= Duration::zero()) throw Poco::TimeoutException("no answer in time");
    if (poll(Poco::Timespan(wait.count()), Poco::Net::Socket::SELECT_READ)) return;
  }
}

}  // namespace runshelf::infrastructure
