#include "tests/soak/operator_configurations.h"

#include <nlohmann/json.hpp>

namespace runshelf::soak {
namespace {

using nlohmann::json;

// Versions rise in random steps of up to this size.
constexpr uint64_t kLargestStep = 9;
constexpr int kTargetLatencyMs = 1000;
constexpr int kMaxAttempts = 2;
constexpr const char* kDownloadRoute = "pull";
const char* const kMovedRoutes[] = {"read", "send", "inner", "extra"};

bool MayRunOnce(const std::string& route) {
  return route == "send" || route == "note" || route == "order";
}

const char* KindOf(const std::string& route) {
  if (route == kDownloadRoute) return "download";
  return MayRunOnce(route) ? "non_idempotent" : "idempotent";
}

json Services(double cold_rate) {
  const json cold = cold_rate > 0 ? json(cold_rate) : json();
  return {{"columns", {"name", "health_check_path", "sharded", "cold_per_s"}},
          {"rows",
           {{"plain", "/health", nullptr, cold},
            {"other", "/health", nullptr, cold},
            {"keyed", "/health", true, cold}}}};
}

}  // namespace

OperatorConfigurations::Parts OperatorConfigurations::DrawParts() {
  switch (random_.Below(3)) {
    case 0:
      return {{"plain", 1}};
    case 1:
      return {{"other", 1}};
    default:
      return {{"plain", 1 + static_cast<int>(random_.Below(9))},
              {"other", 1 + static_cast<int>(random_.Below(9))}};
  }
}

WrittenConfiguration OperatorConfigurations::Next() {
  if (version_ == 0) {
    routes_ = {{"read", {{"plain"}}}, {"send", {{"plain"}}},  {"inner", {{"other"}}},
               {"note", {{"other"}}}, {"keyed", {{"keyed"}}}, {"order", {{"keyed"}}}};
  } else {
    const std::string route = kMovedRoutes[random_.Below(std::size(kMovedRoutes))];
    const bool removed = route == "extra" && routes_.erase(route) != 0 && random_.Below(2) == 0;
    if (!removed) routes_[route] = DrawParts();
  }
  if (downloads_) routes_[kDownloadRoute] = {{"plain"}};
  version_ += 1 + static_cast<int>(random_.Below(kLargestStep));
  WrittenConfiguration written;
  json rows = json::array();
  for (const auto& [route, parts] : routes_) {
    json split = json::array();
    for (const Part& part : parts) {
      split.push_back({{"service", part.service}, {"weight", part.weight}});
      written.allowed[route].insert(part.service);
    }
    const bool single = parts.size() == 1;
    const Duration timeout = route == kDownloadRoute ? kDownloadTimeout : kRouteTimeout;
    rows.push_back({route, "h.example", "/" + route + "/", KindOf(route), ToMilliseconds(timeout),
                    kTargetLatencyMs, 1 + random_.Below(4),
                    single ? json(parts[0].service) : json(), kMaxAttempts,
                    single ? json() : split});
  }
  const json body{{"version", "r" + std::to_string(version_)},
                  {"routes",
                   {{"columns",
                     {"name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms",
                      "priority", "service", "max_attempts", "weighted_services"}},
                    {"rows", rows}}},
                  {"services", Services(cold_rate_)},
                  {"limits",
                   {{"max_header_bytes", 16384},
                    {"max_body_bytes", 1000000},
                    {"header_timeout_ms", 3000},
                    {"idle_timeout_ms", 15000}}}};
  written.text = body.dump();
  return written;
}

}  // namespace runshelf::soak
