#include "tools/sim/server_agent.h"

#include <utility>

namespace runshelf::sim {
namespace {

using coordination::ServerGrant;
using coordination::ServerState;

constexpr Duration kHealthInterval = std::chrono::milliseconds(50);
constexpr Duration kHealthTimeout = std::chrono::milliseconds(200);
// As in source/daemon/server_agent.cc.
constexpr Duration kPushTimeout = std::chrono::milliseconds(300);
constexpr Duration kPushRetryInterval = std::chrono::milliseconds(20);

}  // namespace

ServerAgent::ServerAgent(ServerAgentParts parts, Duration added_validity)
    : parts_(std::move(parts)), added_validity_(added_validity) {}

void ServerAgent::Start() { CheckHealth(); }

void ServerAgent::PushGrant(const ServerGrant& grant) {
  waiting_grant_ = grant;
  PushWaiting();
}

void ServerAgent::PushWaiting() {
  if (pushing_ || !waiting_grant_) {
    return;
  }
  const ServerGrant grant = *std::exchange(waiting_grant_, std::nullopt);
  pushing_ = true;
  giver_ = parts_.node;
  const uint64_t push = ++push_;
  ServerGrant given = grant;
  given.expires_at += added_validity_;
  // A later run of the process has an agent of its own; this one is gone by then.
  Process& process = parts_.process;
  const uint64_t run = process.run();
  parts_.server.PushGrant(given, [this, &process, run, push, grant](std::optional<bool> accepted) {
    if (process.run() == run) {
      process.Post([this, push, grant, accepted] { OnPushed(push, grant, accepted); });
    }
  });
  parts_.process.After(kPushTimeout, [this, push, grant] { OnPushFailed(push, grant); });
}

void ServerAgent::OnPushed(uint64_t push, const ServerGrant& grant, std::optional<bool> accepted) {
  if (push != push_ || !pushing_) {
    return;  // Given up before.
  }
  if (!accepted) {
    OnPushFailed(push, grant);
    return;
  }
  pushing_ = false;
  if (*accepted && giver_.lock() == parts_.node) {
    parts_.node->OnGrantAccepted(Now(), grant);
  }
  PushWaiting();
  parts_.carry_out();
}

void ServerAgent::OnPushFailed(uint64_t push, const ServerGrant& grant) {
  if (push != push_ || !pushing_) {
    return;
  }
  ++push_;  // Neither its answer nor its timeout counts any more.
  // Tried again unless a newer one has come.
  if (!waiting_grant_ && Now() < grant.expires_at) {
    waiting_grant_ = grant;
  }
  parts_.process.After(kPushRetryInterval, [this] {
    pushing_ = false;
    PushWaiting();
  });
}

// No answer in time means that the server may be frozen.
void ServerAgent::CheckHealth() {
  parts_.process.After(kHealthInterval, [this] { CheckHealth(); });
  if (health_check_pending_) {
    return;
  }
  health_check_pending_ = true;
  const uint64_t check = ++health_check_;
  Process& process = parts_.process;
  const uint64_t run = process.run();
  parts_.server.ReadHealth([this, &process, run, check](std::optional<ServerHealth> health) {
    if (process.run() == run) {
      process.Post([this, check, health] { OnHealth(check, health); });
    }
  });
  parts_.process.After(kHealthTimeout, [this, check] { OnHealthTimeout(check); });
}

void ServerAgent::OnHealth(uint64_t check, const std::optional<ServerHealth>& health) {
  if (check != health_check_) {
    return;
  }
  health_check_pending_ = false;
  const bool cold = health && health->cold;
  if (cold && !server_cold_) {
    parts_.on_cold();
  }
  server_cold_ = cold;
  SetServerState(health ? ServerState::kServing : ServerState::kStopped);
}

void ServerAgent::OnHealthTimeout(uint64_t check) {
  if (check != health_check_ || !health_check_pending_) {
    return;
  }
  health_check_pending_ = false;
  ++health_check_;
  SetServerState(ServerState::kSilent);
}

void ServerAgent::SetServerState(ServerState state) {
  server_state_ = state;
  parts_.node->OnServerState(Now(), state);
  parts_.carry_out();
}

}  // namespace runshelf::sim
