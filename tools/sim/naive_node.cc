#include "tools/sim/naive_node.h"

#include <set>
#include <utility>

namespace runshelf::sim {
namespace {

using coordination::Action;
using coordination::Envelope;
using coordination::Node;
using coordination::RenewalReply;
using coordination::RenewalRequest;
using coordination::SendMessage;

class EarlyReleaseNode : public Node {
 public:
  explicit EarlyReleaseNode(std::unique_ptr<Node> node) : node_(std::move(node)) {}

  void Tick(Instant now) override { node_->Tick(now); }

  void Receive(Instant now, const Envelope& envelope) override {
    if (const auto* reply = std::get_if<RenewalReply>(&envelope.body)) {
      for (const coordination::ReleaseOrder& order : reply->releases) {
        ordered_.insert(order.release_id);
      }
    }
    node_->Receive(now, envelope);
  }

  std::vector<Action> TakeActions() override {
    std::vector<Action> actions = node_->TakeActions();
    for (Action& action : actions) {
      auto* send = std::get_if<SendMessage>(&action);
      if (send == nullptr) {
        continue;
      }
      if (auto* renewal = std::get_if<RenewalRequest>(&send->envelope.body)) {
        renewal->released.assign(ordered_.begin(), ordered_.end());
      }
    }
    return actions;
  }

  void OnMachineList(Instant now, const infrastructure::MachineListSnapshot& machines) override {
    node_->OnMachineList(now, machines);
  }
  void OnGroupRecord(Instant now, const std::optional<coordination::GroupRecord>& record,
                     int64_t revision) override {
    node_->OnGroupRecord(now, record, revision);
  }
  void OnGroupRecordWritten(Instant now, bool succeeded, int64_t revision) override {
    node_->OnGroupRecordWritten(now, succeeded, revision);
  }
  void OnServerState(Instant now, coordination::ServerState state) override {
    node_->OnServerState(now, state);
  }
  std::optional<coordination::ServerGrant> GrantToPush(Instant now) override {
    return node_->GrantToPush(now);
  }
  void OnGrantAccepted(Instant now, const coordination::ServerGrant& grant) override {
    node_->OnGrantAccepted(now, grant);
  }
  void OnLoad(Instant now, const coordination::LoadReport& load) override {
    node_->OnLoad(now, load);
  }
  std::optional<FencingToken> Enter(Instant now, SlotNumber slot) override {
    return node_->Enter(now, slot);
  }
  void Leave(Instant now, SlotNumber slot) override { node_->Leave(now, slot); }
  std::optional<Instant> HeldSince(Instant now, SlotNumber slot) const override {
    return node_->HeldSince(now, slot);
  }
  void BeginLeave(Instant now) override { node_->BeginLeave(now); }
  void OnPlatformContact(Instant now) override { node_->OnPlatformContact(now); }

  bool FollowsPlatform(Instant now) const override { return node_->FollowsPlatform(now); }

  bool IsLeaving() const override { return node_->IsLeaving(); }

  bool MayStop(Instant now) const override { return node_->MayStop(now); }
  std::shared_ptr<const routing::RoutingSnapshot> Routes() const override {
    return node_->Routes();
  }
  coordination::NodeStatus Status(Instant now) const override { return node_->Status(now); }

 private:
  std::unique_ptr<Node> node_;
  std::set<uint64_t> ordered_;
};

}  // namespace

NodeFactory EarlyReleases(NodeFactory make_node) {
  return [make_node = std::move(make_node)](auto&&... arguments) {
    return std::make_unique<EarlyReleaseNode>(make_node(arguments...));
  };
}

}  // namespace runshelf::sim
