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
// Servers of the naive version believe in a grant for this much longer.
constexpr Duration kNaiveAddedValidity = std::chrono::seconds(10);

}  // namespace

ServerAgent::ServerAgent(ServerAgentParts parts, const NaiveParts& naive)
    : parts_(std::move(parts)), naive_(naive) {}

void ServerAgent::Start() { CheckHealth(); }

void ServerAgent::PushGrant() {
  push_wanted_ = true;
  kept_grant_.reset();
  TryPush();
}

void ServerAgent::TryPush() {
  if (pushing_ || retry_awaited_ || !push_wanted_) {
    return;
  }
  push_wanted_ = false;
  const std::optional<ServerGrant> grant = NextGrant();
  if (grant) {
    Push(*grant);
  }
}

void ServerAgent::Push(const ServerGrant& grant) {
  pushing_ = true;
  push_overlaps_check_ = true;
  const uint64_t push = ++push_;
  ServerGrant given = grant;
  given.expires_at += naive_.no_expiry_wait ? kNaiveAddedValidity : Duration(0);
  // A later run of the process has an agent of its own; this one is gone by then.
  Process& process = parts_.process;
  const uint64_t run = process.run();
  parts_.server.PushGrant(given, [this, &process, run, push, grant](std::optional<bool> accepted) {
    if (process.run() == run) {
      process.Post([this, push, grant, accepted] { OnAnswer(push, grant, accepted); });
    }
  });
  process.After(kPushTimeout, [this, push, grant] { OnPushFailed(push, grant); });
}

std::optional<ServerGrant> ServerAgent::NextGrant() {
  if (kept_grant_ && Now() < kept_grant_->expires_at) {
    return std::exchange(kept_grant_, std::nullopt);
  }
  return parts_.node->GrantToPush(Now());
}

void ServerAgent::OnAnswer(uint64_t push, const ServerGrant& grant, std::optional<bool> accepted) {
  if (push != push_ || !pushing_) {
    return;  // Given up before.
  }
  if (!accepted) {
    OnPushFailed(push, grant);
    return;
  }
  pushing_ = false;
  if (*accepted) {
    parts_.node->OnGrantAccepted(Now(), grant);
  }
  TryPush();
  parts_.carry_out();
}

void ServerAgent::OnPushFailed(uint64_t push, const ServerGrant& grant) {
  if (push != push_ || !pushing_) {
    return;
  }
  pushing_ = false;
  retry_awaited_ = true;
  if (naive_.keep_grants && !push_wanted_) {
    kept_grant_ = grant;
  }
  parts_.process.After(kPushRetryInterval, [this] {
    retry_awaited_ = false;
    push_wanted_ = true;
    TryPush();
  });
}

// No answer in time means that the server may be frozen.
void ServerAgent::CheckHealth() {
  parts_.process.After(kHealthInterval, [this] { CheckHealth(); });
  if (health_check_pending_) {
    return;
  }
  health_check_pending_ = true;
  push_overlaps_check_ = pushing_;
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
  if (health) {
    SetServerState(ServerState::kServing);
  } else if (!push_overlaps_check_) {
    SetServerState(ServerState::kStopped);
  }  // Else a grant may reach the next process; the next check decides.
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
