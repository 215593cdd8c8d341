// Where a request stands in the operators' table, and how it is queued in front of a worker.
#pragma once

#include <cstdint>
#include <string>

#include "source/routes/routing_configuration.h"
#include "source/sidecar/table_overrides.h"

namespace runshelf::sidecar {

// The target latency of routes that name none.
constexpr Duration kDefaultTargetLatency = std::chrono::milliseconds(500);

struct RequestClass {
  std::string caller_class;  // Column of the operators' table.
  std::string queue_class;   // Requests of one take about as long as each other.
  uint32_t weight = 1;       // Higher is served first.
};

// `nested`: a worker makes the request while it runs another one. An edited cell of the table goes
// before what the route gives.
RequestClass ClassifyRequest(const routes::Route& route, const std::string& service, bool nested,
                             const TableOverrides& table);

}  // namespace runshelf::sidecar
