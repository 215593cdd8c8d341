// The part of a simulated daemon that takes callers' requests and carries out the steps of the
// RequestRouter: forwards to other daemons over simulated connections, waits, and answers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "runshelf/coordination/node.h"
#include "runshelf/routing/request_router.h"
#include "tools/sim/network.h"
#include "tools/sim/process.h"
#include "tools/sim/request.h"

namespace runshelf::sim {

// What an ingress sees of another daemon; implemented by Daemon.
class ForwardTarget {
 public:
  virtual ~ForwardTarget() = default;
  virtual HostIndex host() const = 0;
  // The machine answers on the network at all: its kernel refuses connections to dead processes.
  virtual bool host_up() const = 0;
  virtual bool alive() const = 0;
  virtual uint64_t run() const = 0;
  // The handlers run at the target: `reply` when the answer is sent, `lost` when the process ends
  // before; never both.
  virtual void Forward(const ForwardedRequest& request, ForwardAnswerHandler reply,
                       std::function<void()> lost) = 0;
  virtual void CancelForwarded(uint64_t request_id) = 0;
};

// Finds the daemon that listens at an address; nullptr when there never was one.
using TargetLookup = std::function<ForwardTarget*(const std::string& forward_address)>;

struct IngressParts {
  EventQueue& queue;
  Process& process;  // Of the daemon.
  const DriftingClock& clock;
  Network& network;
  HostIndex host;
  std::shared_ptr<coordination::Node>& node;  // Replaced when the instance restarts.
  Random& random;
  TargetLookup find_target;
  uint64_t& next_request_id;     // Shared by all of the simulation.
  bool retry_any_error = false;  // The naive router: every failure counts as "not run".
};

class Ingress {
 public:
  Ingress(const IngressParts& parts, const std::string& zone);
  ~Ingress();

  // `reply` runs at this daemon when the answer is sent. Returns a handle for CallerGone.
  uint64_t Handle(const CallerRequest& request, CallerAnswerHandler reply);
  void CallerGone(uint64_t handle);

  // Wakes requests that wait for a change of routes; call after each event of the node.
  void OnRoutesMayHaveChanged();

  size_t in_progress() const { return exchanges_.size(); }

 private:
  struct Exchange;
  struct Attempt;
  using AttemptPointer = std::shared_ptr<Attempt>;

  void Perform(uint64_t handle, const routing::Step& step);
  void Forward(uint64_t handle, const routing::ForwardStep& step);
  void Connect(const AttemptPointer& attempt);
  void Send(const AttemptPointer& attempt);
  void Wait(uint64_t handle, Instant until);
  void EndWait(uint64_t handle, uint64_t wait);
  void EndAttempt(const AttemptPointer& attempt, const ForwardAnswer& answer);
  void EndAttempt(const AttemptPointer& attempt, routing::AttemptOutcome outcome);
  void Answer(uint64_t handle, const CallerAnswer& answer);
  Duration UntilInstant(Instant instant) const;
  Instant Now() const { return parts_.clock.At(parts_.queue.Now()); }
  const routing::RoutingSnapshot& Snapshot();

  IngressParts parts_;
  routing::RouterConfig config_;
  routing::RouterState state_;
  std::shared_ptr<const routing::RoutingSnapshot> snapshot_;
  std::map<uint64_t, std::unique_ptr<Exchange>> exchanges_;
  std::set<std::pair<HostIndex, uint64_t>> connected_;  // Runs of daemons with a pooled connection.
  uint64_t next_handle_ = 1;
};

}  // namespace runshelf::sim
