#include "runshelf/transport/peer_watch.h"

#include <poll.h>

namespace runshelf::transport {

bool PeerWatch::Closed() const {
  if (descriptor_ < 0) {
    return false;
  }
  pollfd watched{descriptor_, POLLRDHUP, 0};
  if (::poll(&watched, 1, 0) <= 0) {
    return false;
  }
  return (watched.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

}  // namespace runshelf::transport
