// Number of requests of a node by type of sender.
#pragma once

#include <cstddef>

namespace runshelf::sidecar {

struct RequestCounts {
  size_t clients = 0;    // Sent by clients of this node.
  size_t nested = 0;     // Sent by the local worker while it runs another request.
  size_t forwarded = 0;  // Forwarded by other nodes to the local worker.

  size_t total() const { return clients + nested + forwarded; }
  RequestCounts operator+(const RequestCounts& other) const {
    return {clients + other.clients, nested + other.nested, forwarded + other.forwarded};
  }
};

}  // namespace runshelf::sidecar
