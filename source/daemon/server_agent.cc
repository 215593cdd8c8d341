#include "source/daemon/server_agent.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "runshelf/common/log.h"

namespace runshelf::daemon {
namespace {

using coordination::ServerGrant;
using coordination::ServerState;
using transport::HttpOutcome;
using transport::HttpResult;

constexpr Duration kPushTimeout = std::chrono::milliseconds(300);
constexpr Duration kPushRetryInterval = std::chrono::milliseconds(20);
constexpr Duration kHealthInterval = std::chrono::milliseconds(100);
constexpr Duration kHealthTimeout = std::chrono::milliseconds(400);
constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;

std::string GrantBody(const ServerGrant& grant) {
  nlohmann::json slots = nlohmann::json::array();
  for (const SlotRange& range : grant.slots) {
    slots.push_back({range.first, range.last});
  }
  return nlohmann::json{{"token", grant.token.ToString()},
                        {"expires_at_us", ToMicroseconds(grant.expires_at)},
                        {"slots", std::move(slots)}}
      .dump();
}

}  // namespace

ServerAgent::ServerAgent(const Clock& clock, ServerControl& server, AdmissionGate& admission,
                         ServerAgentCallbacks callbacks)
    : clock_(clock), server_(server), admission_(admission), callbacks_(std::move(callbacks)) {}

ServerAgent::~ServerAgent() { Stop(); }

void ServerAgent::Start() {
  grant_thread_ = std::thread([this] { GrantLoop(); });
  health_thread_ = std::thread([this] { HealthLoop(); });
}

void ServerAgent::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  if (grant_thread_.joinable()) {
    grant_thread_.join();
  }
  if (health_thread_.joinable()) {
    health_thread_.join();
  }
}

void ServerAgent::PushGrant() {
  const std::lock_guard lock(mutex_);
  push_wanted_ = true;
  changed_.notify_all();
}

void ServerAgent::GrantLoop() {
  while (true) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopping_ || push_wanted_; });
    if (stopping_) {
      return;
    }
    push_wanted_ = false;
    lock.unlock();
    if (TryPush()) {
      continue;
    }
    lock.lock();
    push_wanted_ = true;
    changed_.wait_for(lock, kPushRetryInterval, [this] { return stopping_; });
  }
}

// Returns false when another attempt is due.
bool ServerAgent::TryPush() {
  const std::lock_guard push_lock(push_mutex_);
  const std::optional<ServerGrant> grant = callbacks_.grant_to_push();
  return !grant.has_value() || Push(*grant);
}

// Returns false when the server has not answered.
bool ServerAgent::Push(const ServerGrant& grant) {
  const HttpResult result =
      server_.Control("PUT", "/grants", GrantBody(grant), clock_.Now() + kPushTimeout);
  if (result.outcome != HttpOutcome::kAnswered) {
    return false;
  }
  if (result.response.status == kStatusOk) {
    callbacks_.on_grant_accepted(grant);
    return true;
  }
  LogEvent(LogLevel::kWarning, "grant_refused",
           {{"token", grant.token.ToString()}, {"status", result.response.status}});
  return result.response.status == kStatusConflict;
}

void ServerAgent::HealthLoop() {
  do {
    const ServerState probed = ProbeHealth();
    if (probed == ServerState::kStopped) {
      ConfirmStopped();
    } else {
      Report(probed);
    }
  } while (Pause(kHealthInterval));
}

// A grant that was on its way when nothing listened may reach the next process. So the server is
// probed again while no push is under way, and none begins before the node knows the result.
void ServerAgent::ConfirmStopped() {
  const std::lock_guard push_lock(push_mutex_);
  Report(ProbeHealth());
}

void ServerAgent::Report(ServerState state) {
  if (state != state_) {
    LogEvent(state == ServerState::kServing ? LogLevel::kInfo : LogLevel::kWarning, "server_state",
             {{"state", static_cast<int>(state)}});
  }
  state_ = state;
  callbacks_.on_state(state);
}

ServerState ServerAgent::ProbeHealth() {
  const HttpResult result = server_.Control("GET", "/health", "", clock_.Now() + kHealthTimeout);
  if (result.outcome == HttpOutcome::kAnswered) {
    NoteHealth(result.response.body);
    return ServerState::kServing;
  }
  // Refused by the machine itself: no process listens, so no process holds a grant.
  return result.refused ? ServerState::kStopped : ServerState::kSilent;
}

void ServerAgent::NoteHealth(const std::string& body) {
  const nlohmann::json health = nlohmann::json::parse(body, nullptr, false);
  const bool known = health.is_object() && health.contains("state") && health["state"].is_string();
  const bool cold = known && health["state"] == "cold";
  if (cold && !cold_) {
    admission_.SetCold();
  }
  cold_ = cold;
}

// Returns false when the agent stops.
bool ServerAgent::Pause(Duration duration) {
  std::unique_lock lock(mutex_);
  return !changed_.wait_for(lock, duration, [this] { return stopping_; });
}

}  // namespace runshelf::daemon
