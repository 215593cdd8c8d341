// The part of a simulated daemon that stands between the node and the server beside it, as
// source/daemon/server_agent does: it pushes grants, again after a failure, and watches the
// server's health.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "runshelf/coordination/node.h"
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
  // `added_validity` is how much longer the server is made to believe in each grant; zero but for
  // the naive version.
  ServerAgent(ServerAgentParts parts, Duration added_validity);

  // Begins to watch the server's health.
  void Start();

  // Hands `grant` to the server as soon as possible; replaces one that still waits.
  void PushGrant(const coordination::ServerGrant& grant);

  coordination::ServerState server_state() const { return server_state_; }

 private:
  void PushWaiting();
  void OnPushed(uint64_t push, const coordination::ServerGrant& grant,
                std::optional<bool> accepted);
  void OnPushFailed(uint64_t push, const coordination::ServerGrant& grant);
  void CheckHealth();
  void OnHealth(uint64_t check, const std::optional<ServerHealth>& health);
  void OnHealthTimeout(uint64_t check);
  void SetServerState(coordination::ServerState state);
  Instant Now() const { return parts_.clock.At(parts_.queue.Now()); }

  ServerAgentParts parts_;
  const Duration added_validity_;
  std::optional<coordination::ServerGrant> waiting_grant_;
  std::weak_ptr<coordination::Node> giver_;  // Of the grant on its way.
  uint64_t push_ = 0;                        // Number of the latest push.
  bool pushing_ = false;                     // It is under way, or its retry is awaited.
  uint64_t health_check_ = 0;                // Number of the latest check.
  bool health_check_pending_ = false;
  bool server_cold_ = false;
  coordination::ServerState server_state_ = coordination::ServerState::kUnknown;
};

}  // namespace runshelf::sim
