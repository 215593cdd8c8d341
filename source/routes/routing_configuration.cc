#include "source/routes/routing_configuration.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace runshelf::routes {
namespace {

// The host without its port, in lower case.
std::string NormalizeHost(std::string_view host) {
  host = host.substr(0, host.find(':'));
  std::string normalized(host);
  std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return normalized;
}

}  // namespace

RoutingConfiguration::RoutingConfiguration(int64_t version, std::vector<Route> routes,
                                           std::vector<Service> services, ClientLimits limits)
    : version_(version), routes_(std::move(routes)), limits_(limits) {
  for (Service& service : services) {
    const std::string name = service.name;
    services_.emplace(name, std::move(service));
  }
  for (size_t index = 0; index < routes_.size(); ++index) {
    routes_by_host_[NormalizeHost(routes_[index].host)].push_back(index);
  }
  for (auto& [host, indexes] : routes_by_host_) {
    std::stable_sort(indexes.begin(), indexes.end(), [this](size_t left, size_t right) {
      return routes_[left].path_prefix.size() > routes_[right].path_prefix.size();
    });
  }
}

const Route* RoutingConfiguration::Match(std::string_view host, std::string_view path) const {
  const auto found = routes_by_host_.find(NormalizeHost(host));
  if (found == routes_by_host_.end()) return nullptr;
  for (const size_t index : found->second) {
    if (path.starts_with(routes_[index].path_prefix)) return &routes_[index];
  }
  return nullptr;
}

const Service* RoutingConfiguration::FindService(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace runshelf::routes
