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

void ServerAgent::PushGrant(const ServerGrant& grant) {
  const std::lock_guard lock(mutex_);
  waiting_grant_ = grant;
  changed_.notify_all();
}

void ServerAgent::GrantLoop() {
  while (true) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopping_ || waiting_grant_.has_value(); });
    if (stopping_) {
      return;
    }
    const ServerGrant grant = *waiting_grant_;
    waiting_grant_.reset();
    lock.unlock();
    if (Push(grant)) {
      continue;
    }
    lock.lock();
    // Tried again unless a newer one has come.
    if (!waiting_grant_.has_value() && clock_.Now() < grant.expires_at) {
      waiting_grant_ = grant;
    }
    changed_.wait_for(lock, kPushRetryInterval, [this] { return stopping_; });
  }
}

// Returns false when the same grant should be pushed again.
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
  ServerState state = ServerState::kUnknown;
  do {
    const ServerState probed = ProbeHealth();
    if (probed != state) {
      LogEvent(probed == ServerState::kServing ? LogLevel::kInfo : LogLevel::kWarning,
               "server_state", {{"state", static_cast<int>(probed)}});
    }
    state = probed;
    callbacks_.on_state(state);
  } while (Pause(kHealthInterval));
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
