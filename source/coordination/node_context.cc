#include "source/coordination/node_context.h"

namespace runshelf::coordination {
namespace {

// Restarts leave addresses of ended instances behind; beyond this many, all are learnt anew.
constexpr size_t kMaxKnownAddresses = 4096;

}  // namespace

void NodeContext::Send(const InstanceId& to, MessageBody body) {
  if (to == self) {
    SendToAddress(config.peer_address, to, std::move(body));
    return;
  }
  const std::string address = AddressOf(to);
  if (!address.empty()) SendToAddress(address, to, std::move(body));
}

void NodeContext::SendToAddress(const std::string& address, const InstanceId& to,
                                MessageBody body) {
  Envelope envelope{config.group, generation, self, config.peer_address, to, std::move(body)};
  if (address == config.peer_address) {
    local_messages.push_back(std::move(envelope));
    return;
  }
  actions.emplace_back(SendMessage{address, std::move(envelope)});
}

void NodeContext::Log(std::string event, std::vector<std::pair<std::string, std::string>> fields,
                      bool warning) {
  actions.emplace_back(LogAction{std::move(event), std::move(fields), warning});
}

void NodeContext::Learn(const InstanceId& instance, const std::string& address) {
  if (instance.empty() || address.empty()) return;
  if (addresses_.size() >= kMaxKnownAddresses) addresses_.clear();
  addresses_[instance] = address;
}

std::string NodeContext::AddressOf(const InstanceId& instance) const {
  const auto found = addresses_.find(instance);
  return found == addresses_.end() ? std::string() : found->second;
}

}  // namespace runshelf::coordination
