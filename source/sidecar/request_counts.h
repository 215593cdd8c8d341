// Requests of a node, by who sent them to it.
#pragma once

#include <cstddef>

namespace runshelf::sidecar {

struct RequestCounts {
  size_t clients = 0;
  size_t nested = 0;     // Calls that the worker beside the node makes during its runs.
  size_t forwarded = 0;  // By other nodes, for that worker.

  size_t total() const { return clients + nested + forwarded; }
  RequestCounts operator+(const RequestCounts& other) const {
    return {clients + other.clients, nested + other.nested, forwarded + other.forwarded};
  }
};

}  // namespace runshelf::sidecar
