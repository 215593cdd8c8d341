// Classification of requests: the column of the operators' table that applies to a request, and its
// class and weight in the queue of a worker.
#pragma once

#include <cstdint>
#include <string>

#include "source/routes/routing_configuration.h"
#include "source/sidecar/table_overrides.h"

namespace runshelf::sidecar {

// Target latency of routes that set none.
constexpr Duration kDefaultTargetLatency = std::chrono::milliseconds(500);

struct RequestClass {
  std::string caller_class;  // Column of the operators' table.
  std::string queue_class;   // Requests of the same queue class have similar run times.
  uint32_t weight = 1;       // Higher is served first.
};

// Returns the class of a request for `service` on `route`. `nested` is true if a worker sent it
// while running another request. A cell of the table that an operator has edited overrides the
// weight derived from the route's priority.
RequestClass ClassifyRequest(const routes::Route& route, const std::string& service, bool nested,
                             const TableOverrides& table);

}  // namespace runshelf::sidecar
