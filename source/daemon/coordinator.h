// Drives coordination::Node: one mutex around it, a thread that ticks it, and what it asks for
// carried out.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/coordination/node.h"
#include "runshelf/ownership/slot_gate.h"
#include "runshelf/routing/routing_snapshot.h"
#include "source/daemon/published.h"

namespace runshelf::daemon {

// Who carries out the node's actions. None may block for long.
struct NodeEffects {
  std::function<void(const std::string& address, const std::string& message)> send;
  std::function<void()> push_grant;
  std::function<void()> read_group_record;
  std::function<void(const coordination::WriteGroupRecord& write)> write_group_record;
};

// Makes a node with a new identity.
using NodeFactory = std::function<std::unique_ptr<coordination::Node>()>;

// Safe for use by several threads at once.
class Coordinator : public ownership::SlotGate {
 public:
  // `clock` and `routes` must outlive the coordinator.
  Coordinator(const Clock& clock, NodeFactory make_node, std::string group,
              Published<routing::RoutingSnapshot>& routes);
  ~Coordinator() override;

  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  // Starts to tick. To be called once.
  void Start(NodeEffects effects);

  // Stops to tick; no effect is called after it returns.
  void Stop();

  // A message of another daemon.
  void OnMessage(const std::string& message);

  // Calls `event` with the node and the present time, then carries out what the node asks for.
  void With(const std::function<void(coordination::Node& node, Instant now)>& event);

  // The grant to send to the server beside this daemon now, as Node::GrantToPush.
  std::optional<coordination::ServerGrant> GrantToPush();

  coordination::NodeStatus Status() const;
  bool MayStop() const;
  bool FollowsPlatform() const;

  // Of ownership::SlotGate.
  std::optional<FencingToken> Enter(Instant now, SlotNumber slot) override;
  void Leave(SlotNumber slot) override;
  bool IsLeaving() const override;
  std::optional<Instant> HeldSince(Instant now, SlotNumber slot) const override;

 private:
  // Takes what has to be done; the caller holds `mutex_`.
  std::vector<coordination::Action> TakeActionsLocked();
  void CarryOut(const std::vector<coordination::Action>& actions);
  void TickLoop();
  // Replaces a node that asked for it, once no request is under way on its grants.
  void RestartIfDue();

  const Clock& clock_;
  const std::string group_;
  Published<routing::RoutingSnapshot>& routes_;
  mutable std::mutex mutex_;
  std::condition_variable stop_changed_;
  // The rest is guarded by `mutex_`.
  const NodeFactory make_node_;
  std::unique_ptr<coordination::Node> node_;
  int64_t entered_ = 0;      // Requests that Enter admitted and Leave has not been called for.
  bool restarting_ = false;  // The node asked to be replaced: it gets no more events.
  NodeEffects effects_;
  bool started_ = false;
  bool stopping_ = false;
  std::thread tick_thread_;
};

}  // namespace runshelf::daemon
