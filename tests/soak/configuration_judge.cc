#include "tests/soak/configuration_judge.h"

#include <fmt/format.h>

#include <algorithm>

namespace runshelf::soak {

void ConfigurationJudge::OnConfiguration(Instant acknowledged, AllowedServices allowed) {
  configurations_.push_back({acknowledged, std::move(allowed)});
}

bool ConfigurationJudge::Allows(const Configuration& configuration,
                                const HandledRequest& request) const {
  const auto services = configuration.allowed.find(request.route);
  const bool has_route = services != configuration.allowed.end();
  if (!request.service.has_value()) return !has_route;
  return has_route && services->second.contains(*request.service);
}

void ConfigurationJudge::OnHandled(const HandledRequest& request) {
  std::optional<size_t> oldest;
  std::optional<size_t> newest;
  for (size_t index = 0; index < configurations_.size(); ++index) {
    if (!Allows(configurations_[index], request)) continue;
    if (!oldest.has_value()) oldest = index;
    newest = index;
  }
  if (!oldest.has_value()) {
    violations_.push_back(
        fmt::format("configuration: {} was handled at node {} as none allows ({})", request.id,
                    request.node, request.service.value_or("404")));
    return;
  }
  CheckApplied(request, *newest);
  CheckNoRollback(request, *oldest, *newest);
}

void ConfigurationJudge::CheckApplied(const HandledRequest& request, size_t newest) {
  const bool replaced = newest + 1 < configurations_.size() &&
                        request.sent_at - configurations_[newest + 1].acknowledged > bounds_.apply;
  if (!replaced || !request.in_touch) return;
  violations_.push_back(fmt::format(
      "configuration: {} was handled at node {} ({}) as only an old one allows, sent {} ms after "
      "the next was acknowledged",
      request.id, request.node, request.service.value_or("404"),
      ToMilliseconds(request.sent_at - configurations_[newest + 1].acknowledged)));
}

void ConfigurationJudge::CheckNoRollback(const HandledRequest& request, size_t oldest,
                                         size_t newest) {
  std::vector<Seen>& seen = seen_[{request.node, request.life}];
  const auto later = std::find_if(seen.begin(), seen.end(), [&](const Seen& earlier) {
    return earlier.oldest > newest && request.sent_at - earlier.seen_at > bounds_.rollback_slack;
  });
  if (later != seen.end()) {
    violations_.push_back(fmt::format(
        "configuration: node {} went back: {} was handled ({}) as only an older one allows, {} ms "
        "after a newer one showed",
        request.node, request.id, request.service.value_or("404"),
        ToMilliseconds(request.sent_at - later->seen_at)));
  }
  if (seen.empty() || seen.back().oldest < oldest) seen.push_back({request.seen_at, oldest});
}

}  // namespace runshelf::soak
