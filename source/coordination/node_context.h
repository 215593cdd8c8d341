// What the parts of one Node share: identity, the outbox, and where peers are.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "runshelf/coordination/node.h"

namespace runshelf::coordination {

class NodeContext {
 public:
  NodeContext(const NodeConfig& node_config, InstanceId self_id, Random& random_source)
      : config(node_config), self(std::move(self_id)), random(random_source) {}

  // Sends to a known instance; dropped when its address is unknown. A message to this node itself
  // is delivered within the same event.
  void Send(const InstanceId& to, MessageBody body);

  // Sends to whoever listens at `address`.
  void SendToAddress(const std::string& address, const InstanceId& to, MessageBody body);

  void Log(std::string event, std::vector<std::pair<std::string, std::string>> fields,
           bool warning = false);

  // Remembers where an instance listens.
  void Learn(const InstanceId& instance, const std::string& address);
  // Empty when unknown.
  std::string AddressOf(const InstanceId& instance) const;

  const NodeConfig config;
  const InstanceId self;
  Random& random;
  uint64_t generation = 0;  // Of the replica group; zero until one is known.
  std::vector<Action> actions;
  std::deque<Envelope> local_messages;

 private:
  std::map<InstanceId, std::string> addresses_;
};

}  // namespace runshelf::coordination
