#include "tools/sim/server.h"

#include <algorithm>
#include <utility>

namespace runshelf::sim {
namespace {

constexpr Duration kLocalHop = std::chrono::microseconds(100);

}  // namespace

Server::Server(const ServerConfig& config, EventQueue& queue, Random& random, Judge& judge,
               const DriftingClock& clock)
    : config_(config),
      queue_(queue),
      random_(random),
      judge_(judge),
      clock_(clock),
      process_(queue) {}

void Server::Start(bool cold) {
  process_.Start();
  run_ = judge_.NewServerRun(config_.service, config_.name);
  grants_ = server_standin::GrantBook();
  pending_.clear();
  queued_.clear();
  running_ = 0;
  draining_ = false;
  cold_ = cold;
  started_at_ = queue_.Now();
  answers_to_lose_ = 0;
}

void Server::Kill() {
  if (!process_.alive()) {
    return;
  }
  process_.Kill();
  judge_.OnServerStopped(run_);
  for (auto& [id, pending] : pending_) {
    queue_.After(kLocalHop, [done = std::move(pending.done), request = pending.request] {
      done(ServerAnswer{ServerOutcome::kConnectionLost, request.operation});
    });
  }
  pending_.clear();
  queued_.clear();
}

void Server::PushGrant(const coordination::ServerGrant& grant, GrantHandler done) {
  queue_.After(kLocalHop, [this, grant, done = std::move(done)] {
    if (!process_.alive()) {
      queue_.After(kLocalHop, [done] { done(std::nullopt); });
      return;
    }
    process_.Post([this, grant, done] { InstallGrant(grant, done); });
  });
}

void Server::InstallGrant(const coordination::ServerGrant& grant, const GrantHandler& done) {
  const bool accepted =
      grants_.Install(Now(), server_standin::Grant{grant.token, grant.expires_at, grant.slots});
  if (accepted) {
    judge_.OnGrant(run_, grant.token, grant.slots, clock_.TrueTimeOf(grant.expires_at));
  }
  queue_.After(kLocalHop, [done, accepted] { done(accepted); });
}

void Server::Submit(const ServerRequest& request, AnswerHandler done) {
  queue_.After(kLocalHop, [this, request, done = std::move(done)] {
    if (!process_.alive()) {
      queue_.After(kLocalHop, [done, request] {
        done(ServerAnswer{ServerOutcome::kConnectionRefused, request.operation});
      });
      return;
    }
    pending_[request.request_id] = Pending{request, done, Instant{}, false};
    process_.Post([this, id = request.request_id] { Accept(id); });
  });
}

void Server::Cancel(uint64_t request_id) {
  queue_.After(kLocalHop, [this, request_id] {
    process_.Post([this, request_id] {
      const auto pending = pending_.find(request_id);
      if (pending == pending_.end()) {
        return;
      }
      if (pending->second.running) {
        --running_;
      }
      Answer(request_id, ServerOutcome::kCancelled);
      StartQueued();
    });
  });
}

void Server::ReadHealth(HealthHandler done) {
  queue_.After(kLocalHop, [this, done = std::move(done)] {
    if (!process_.alive()) {
      queue_.After(kLocalHop, [done] { done(std::nullopt); });
      return;
    }
    process_.Post([this, done] {
      const ServerHealth health{ColdFactor() > 1, running_, static_cast<uint32_t>(queued_.size())};
      queue_.After(kLocalHop, [done, health] { done(health); });
    });
  });
}

void Server::Drain() {
  queue_.After(kLocalHop, [this] { process_.Post([this] { draining_ = true; }); });
}

void Server::Accept(uint64_t request_id) {
  const auto pending = pending_.find(request_id);
  if (pending == pending_.end()) {
    return;
  }
  pending->second.deadline = Now() + pending->second.request.time_left;
  const ServerRequest& request = pending->second.request;
  judge_.OnArrival(run_, request.operation);
  if (draining_) {
    Answer(request_id, ServerOutcome::kDraining);
  } else if (!MayExecute(Now(), request)) {
    Answer(request_id, ServerOutcome::kNotOwner);
  } else if (Now() >= pending->second.deadline) {
    Answer(request_id, ServerOutcome::kDeadline);
  } else if (queued_.size() >= config_.queue_limit) {
    Answer(request_id, ServerOutcome::kOverloaded);
  } else {
    queued_.push_back(request_id);
    StartQueued();
  }
}

void Server::StartQueued() {
  while (running_ < config_.slots && !queued_.empty()) {
    const uint64_t request_id = queued_.front();
    queued_.pop_front();
    if (pending_.contains(request_id)) {
      Run(request_id);
    }
  }
}

void Server::Run(uint64_t request_id) {
  ++running_;
  pending_[request_id].running = true;
  process_.After(ServiceTime(), [this, request_id] { Finish(request_id); });
}

void Server::Finish(uint64_t request_id) {
  const auto pending = pending_.find(request_id);
  if (pending == pending_.end()) {
    return;  // Cancelled.
  }
  --running_;
  ServerOutcome outcome = CheckAndExecute(pending->second);
  if (outcome == ServerOutcome::kExecuted && answers_to_lose_ > 0) {
    --answers_to_lose_;
    outcome = ServerOutcome::kConnectionLost;
  }
  Answer(request_id, outcome);
  StartQueued();
}

ServerOutcome Server::CheckAndExecute(const Pending& pending) {
  const ServerRequest& request = pending.request;
  const Instant now = Now();
  if (!MayExecute(now, request)) {
    return ServerOutcome::kNotOwner;
  }
  if (now >= pending.deadline) {
    return ServerOutcome::kDeadline;
  }
  judge_.OnExecution(run_, request.operation, request.sending, request.slot, request.token);
  return ServerOutcome::kExecuted;
}

bool Server::MayExecute(Instant now, const ServerRequest& request) const {
  if (!config_.checks_grants || !request.slot) {
    return true;
  }
  return request.token && grants_.MayExecute(now, *request.slot, *request.token);
}

void Server::Answer(uint64_t request_id, ServerOutcome outcome) {
  const auto pending = pending_.find(request_id);
  const ServerAnswer answer{outcome, pending->second.request.operation};
  queue_.After(kLocalHop, [done = std::move(pending->second.done), answer] { done(answer); });
  pending_.erase(pending);
}

Duration Server::ServiceTime() {
  const Duration base = random_.Between(config_.service_time_min, config_.service_time_max);
  const double factor = ColdFactor() * slowness_;
  return Duration(static_cast<int64_t>(static_cast<double>(base.count()) * factor));
}

// Falls from cold_factor to 1 over the cold start.
double Server::ColdFactor() const {
  const Duration age = queue_.Now() - started_at_;
  if (!cold_ || age >= config_.cold_start) {
    return 1;
  }
  const double done =
      static_cast<double>(age.count()) / static_cast<double>(config_.cold_start.count());
  return config_.cold_factor + (1 - config_.cold_factor) * done;
}

}  // namespace runshelf::sim
