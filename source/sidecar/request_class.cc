#include "source/sidecar/request_class.h"

#include <fmt/format.h>

#include <algorithm>

namespace runshelf::sidecar {
namespace {

// Default weights by the priority of the route: priority 0 has the highest weight and is served
// first.
constexpr uint32_t kTopWeight = 1000;
constexpr uint32_t kWeightStep = 100;
constexpr int kLowestPriority = 9;
// Weight of calls that a worker makes while it runs a request. Refusing one wastes that run and the
// slot it holds, so these calls are served before all new requests.
constexpr uint32_t kNestedCallWeight = 2000;
constexpr const char* kNestedCallClass = "calls";

uint32_t WeightOfPriority(int priority) {
  const auto steps = static_cast<uint32_t>(std::clamp(priority, 0, kLowestPriority));
  return kTopWeight - steps * kWeightStep;
}

}  // namespace

RequestClass ClassifyRequest(const routes::Route& route, const std::string& service, bool nested,
                             const TableOverrides& table) {
  RequestClass result;
  result.caller_class = nested ? kNestedCallClass : fmt::format("priority-{}", route.priority);
  const Duration target = route.target_latency.value_or(kDefaultTargetLatency);
  result.queue_class = fmt::format("{}-{}ms", result.caller_class, ToMilliseconds(target));
  result.weight = nested ? kNestedCallWeight : WeightOfPriority(route.priority);
  const table::CellValue* cell = table.Find(service, result.caller_class);
  if (cell != nullptr) result.weight = static_cast<uint32_t>(cell->weight);
  return result;
}

}  // namespace runshelf::sidecar
