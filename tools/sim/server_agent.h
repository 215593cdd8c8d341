// The part of a simulated daemon that stands between the node and the server beside it, as
// source/daemon/server_agent does: it pushes grants, again after a failure, and watches the
// server's health.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "runshelf/coordination/node.h"
#include "tools/sim/naive.h"
#include "tools/sim/server.h"

namespace runshelf::sim {

// All must outlive the agent, except that the server process may end and start again.
struct ServerAgentParts {
  EventQueue& queue;
  Process& process;  // Of the daemon.
  const DriftingClock& clock;
  std::shared_ptr<coordination::Node>& node;  // Replaced when the instance restarts.
  Server& server;
  std::function<void()> carry_out;  // Carries out what the node asks for.
  std::function<void()> on_cold;    // The server has begun a cold start.
};

// Lives as long as one run of the daemon's process.
class ServerAgent {
 public:
  ServerAgent(ServerAgentParts parts, const NaiveParts& naive);

  // Begins to watch the server's health.
  void Start();

  // The server should get a grant as soon as possible.
  void PushGrant();

  coordination::ServerState server_state() const { return server_state_; }

 private:
  void TryPush();
  void Push(const coordination::ServerGrant& grant);
  std::optional<coordination::ServerGrant> NextGrant();
  void OnAnswer(uint64_t push, const coordination::ServerGrant& grant,
                std::optional<bool> accepted);
  void OnPushFailed(uint64_t push, const coordination::ServerGrant& grant);
  void CheckHealth();
  void OnHealth(uint64_t check, const std::optional<ServerHealth>& health);
  void OnHealthTimeout(uint64_t check);
  void SetServerState(coordination::ServerState state);
  Instant Now() const { return parts_.clock.At(parts_.queue.Now()); }

  ServerAgentParts parts_;
  const NaiveParts naive_;
  bool push_wanted_ = false;
  uint64_t push_ = 0;                                    // Number of the latest push.
  bool pushing_ = false;                                 // Its answer or timeout is awaited.
  bool retry_awaited_ = false;                           // It failed, and the next one has to wait.
  std::optional<coordination::ServerGrant> kept_grant_;  // Of the naive version only.
  uint64_t health_check_ = 0;                            // Number of the latest check.
  bool health_check_pending_ = false;
  bool push_overlaps_check_ = false;  // Some push was under way since the latest check began.
  bool server_cold_ = false;
  coordination::ServerState server_state_ = coordination::ServerState::kUnknown;
};

}  // namespace runshelf::sim
