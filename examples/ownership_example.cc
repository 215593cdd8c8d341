// Embeds the coordination part: three instances that share out the slots of one service, in one
// process and under virtual time. After five seconds one of them is lost with its server, and the
// others take over its slots once its grant has run out.
//
// What an embedding program brings is here in its smallest form: a network (Network), the
// platform's machine list and its record of the replica group (Platform), and a server that accepts
// grants (Instance). Prints one key=value line for each change; the exit code is 1 when a slot had
// two owners or was not served again.
#include <fmt/format.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "runshelf/common/random.h"
#include "runshelf/coordination/node.h"

namespace {

using runshelf::Duration;
using runshelf::Instant;
using runshelf::SeededRandom;
using runshelf::SlotNumber;
namespace coordination = runshelf::coordination;
namespace infrastructure = runshelf::infrastructure;

constexpr SlotNumber kSlotCount = 12;
constexpr Duration kStep = std::chrono::milliseconds(1);
constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kMachineListInterval = std::chrono::milliseconds(500);
constexpr Duration kNetworkDelay = std::chrono::milliseconds(1);
constexpr Duration kLossAfter = std::chrono::seconds(5);
constexpr Duration kLength = std::chrono::seconds(10);

// This example has no table to spread.
class NoTable : public coordination::TableReplica {
 public:
  int64_t Revision() const override { return 0; }
  std::string ChangesSince(int64_t) const override { return "none"; }
  bool Apply(const std::string&) override { return true; }
};

// The platform's key-value service, reduced to the one record that the group keeps there.
struct Platform {
  infrastructure::MachineListSnapshot machines;
  std::optional<coordination::GroupRecord> record;
  int64_t record_revision = 0;
};

struct Delivery {
  Instant at;
  std::string address;
  coordination::Envelope envelope;
};
using Network = std::deque<Delivery>;

// One machine: the node and the server beside it.
class Instance {
 public:
  Instance(const std::string& name, const std::string& zone, uint64_t seed, Instant now)
      : random_(seed) {
    config_.node = name;
    config_.zone = zone;
    config_.service = "orders";
    config_.peer_address = name + ":1";
    config_.forward_address = name + ":2";
    config_.slots_per_service = kSlotCount;
    config_.voter_count = 3;
    const runshelf::InstanceId self = runshelf::NewInstanceId(name, random_);
    node_ = coordination::MakeNode(config_, self, now, table_, nullptr, random_);
    node_->OnServerState(now, coordination::ServerState::kServing);
  }

  const coordination::NodeConfig& config() const { return config_; }
  coordination::Node& node() { return *node_; }

  // Ends the node and its server; what the server was granted still runs until it expires.
  void Lose() { lost_ = true; }
  bool lost() const { return lost_; }

  // Whether the server may execute a request for `slot` at `now`.
  bool MayServe(Instant now, SlotNumber slot) const {
    return grant_ && now < grant_->expires_at && runshelf::Contains(grant_->slots, slot);
  }

  // Carries out what the node asks for.
  void CarryOutActions(Instant now, Network& network, Platform& platform) {
    for (const coordination::Action& action : node_->TakeActions()) {
      CarryOut(now, action, network, platform);
    }
  }

 private:
  void CarryOut(Instant now, const coordination::Action& action, Network& network,
                Platform& platform) {
    if (const auto* send = std::get_if<coordination::SendMessage>(&action)) {
      network.push_back({now + kNetworkDelay, send->address, send->envelope});
    } else if (std::holds_alternative<coordination::PushGrant>(action)) {
      const std::optional<coordination::ServerGrant> grant = node_->GrantToPush(now);
      if (!grant) return;
      grant_ = grant;
      node_->OnGrantAccepted(now, *grant);
    } else if (std::holds_alternative<coordination::ReadGroupRecord>(action)) {
      node_->OnGroupRecord(now, platform.record, platform.record_revision);
    } else if (const auto* write = std::get_if<coordination::WriteGroupRecord>(&action)) {
      const bool succeeds = write->expected_revision == platform.record_revision;
      if (succeeds) {
        platform.record = write->record;
        ++platform.record_revision;
      }
      node_->OnGroupRecordWritten(now, succeeds, platform.record_revision);
    }
  }

  coordination::NodeConfig config_;
  SeededRandom random_;
  NoTable table_;
  std::unique_ptr<coordination::Node> node_;
  std::optional<coordination::ServerGrant> grant_;
  bool lost_ = false;
};

class Fleet {
 public:
  Fleet() {
    uint64_t seed = 1;
    for (const char* name : {"orders-1", "orders-2", "orders-3"}) {
      const std::string zone = fmt::format("hall-{}", seed);
      instances_.push_back(std::make_unique<Instance>(name, zone, seed, now_));
      platform_.machines.machines.push_back({name, instances_.back()->config().peer_address, zone,
                                             infrastructure::MachineState::kLive});
      ++seed;
    }
  }

  // Returns whether the promises were kept.
  bool Run() {
    const Instant start = now_;
    while (now_ < start + kLength) {
      Step();
      if (now_ == start + kLossAfter) Lose(*instances_.front());
      ReportOwners(now_ - start);
    }
    fmt::print("double_owner={} unowned_at_end={}\n", double_owner_, CountUnowned());
    return double_owner_ == 0 && CountUnowned() == 0;
  }

 private:
  void Step() {
    now_ += kStep;
    Deliver();
    for (const auto& instance : instances_) {
      if (instance->lost()) continue;
      if (IsDue(kTickInterval)) instance->node().Tick(now_);
      if (IsDue(kMachineListInterval)) instance->node().OnMachineList(now_, platform_.machines);
      instance->CarryOutActions(now_, network_, platform_);
    }
  }

  void Deliver() {
    while (!network_.empty() && network_.front().at <= now_) {
      const Delivery delivery = std::move(network_.front());
      network_.pop_front();
      for (const auto& instance : instances_) {
        const bool addressed = instance->config().peer_address == delivery.address;
        if (addressed && !instance->lost()) instance->node().Receive(now_, delivery.envelope);
      }
    }
  }

  bool IsDue(Duration interval) const {
    return now_.time_since_epoch().count() % interval.count() == 0;
  }

  void Lose(Instance& instance) {
    instance.Lose();
    fmt::print("event=lost node={}\n", instance.config().node);
  }

  // Prints the slots of each server when they have changed.
  void ReportOwners(Duration elapsed) {
    std::map<std::string, std::vector<SlotNumber>> slots;
    for (SlotNumber slot = 0; slot < kSlotCount; ++slot) {
      int owners = 0;
      for (const auto& instance : instances_) {
        if (!instance->MayServe(now_, slot)) continue;
        slots[instance->config().node].push_back(slot);
        ++owners;
      }
      if (owners > 1) ++double_owner_;
    }
    if (slots == reported_) return;
    reported_ = slots;
    const auto elapsed_ms = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
    std::string line = fmt::format("event=owners elapsed_ms={}", elapsed_ms);
    for (const auto& [node, owned] : slots) {
      line += fmt::format(" {}={}", node, fmt::join(owned, ","));
    }
    fmt::print("{}\n", line);
  }

  SlotNumber CountUnowned() const {
    SlotNumber unowned = kSlotCount;
    for (const auto& [node, owned] : reported_) unowned -= static_cast<SlotNumber>(owned.size());
    return unowned;
  }

  Instant now_ = Instant(std::chrono::seconds(100));
  Network network_;
  Platform platform_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::map<std::string, std::vector<SlotNumber>> reported_;
  int double_owner_ = 0;
};

}  // namespace

int main() { return Fleet().Run() ? 0 : 1; }
