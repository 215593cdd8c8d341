// A few Nodes with a perfect network, an always answering platform and obedient servers, under
// virtual time. For what needs faults, see the simulator.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runshelf/coordination/node.h"

namespace runshelf::coordination {

class FakeTable : public TableReplica {
 public:
  int64_t Revision() const override { return revision; }
  std::string ChangesSince(int64_t) const override { return std::to_string(revision); }
  bool Apply(const std::string& changes) override {
    revision = std::max(revision, static_cast<int64_t>(std::stoll(changes)));
    return true;
  }

  int64_t revision = 0;
};

struct ClusterMember {
  NodeConfig config;
  InstanceId id;
  FakeTable table;
  std::unique_ptr<Node> node;
  bool running = true;
  bool server_running = true;
  std::optional<ServerGrant> server_grant;
  bool push_failed = false;  // The last grant did not reach the server; tried again.
  std::vector<std::string> log;
};

class Cluster {
 public:
  explicit Cluster(uint64_t seed) : random_(seed) {}

  // Adds a machine with a daemon and a server of `service`; it is listed from the next step on.
  ClusterMember& Add(const std::string& name, const std::string& service, const std::string& zone);

  // Ends daemon and server of `name` at once.
  void Kill(const std::string& name) { Get(name).running = false; }

  // Ends the server of `name`; its daemon does not know yet.
  void EndServer(const std::string& name) { Get(name).server_running = false; }
  // Starts another process of the server, which has no grant; its daemon does not know yet.
  void StartServer(const std::string& name);

  // Runs for `duration` in steps of one millisecond.
  void Run(Duration duration);

  // Runs until `condition` holds or `limit` has passed; returns whether it holds.
  template <typename Condition>
  bool RunUntil(Duration limit, Condition condition) {
    const Instant end = now_ + limit;
    while (now_ < end && !condition()) Step();
    return condition();
  }

  ClusterMember& Get(const std::string& name) { return *members_.at(name); }
  std::map<std::string, std::unique_ptr<ClusterMember>>& members() { return members_; }
  Instant now() const { return now_; }

  // Slots of `service` that exactly one running server may serve now.
  size_t ServedSlots(const std::string& service) const;
  // Whether some slot may be served by two servers now, dead daemons' servers included.
  bool HasDoubleOwner() const;
  ClusterMember* Leader();

  bool platform_up = true;
  std::set<std::string> unlisted;
  Duration network_delay = std::chrono::microseconds(500);

 private:
  struct Delivery {
    Instant at;
    std::string address;
    Envelope envelope;
  };

  void Step();
  void CarryOut(ClusterMember& member);
  void CarryOut(ClusterMember& member, const Action& action);
  void TryPush(ClusterMember& member);

  SeededRandom random_;
  Instant now_ = Instant(std::chrono::seconds(100));
  std::map<std::string, std::unique_ptr<ClusterMember>> members_;
  std::deque<Delivery> network_;
  std::optional<GroupRecord> record_;
  int64_t record_revision_ = 0;
};

}  // namespace runshelf::coordination
