// A simulated server: worker slots, service time, cold start, fenced grants, drain, and its own
// record of executions, which goes to the judge in true time.
//
// It follows the server's protocol of docs/PROTOCOLS.md. A request takes effect at the end of its
// service time; at that instant slot, token, expiry and deadline are checked.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "runshelf/coordination/node.h"
#include "tools/server_standin/grant_book.h"
#include "tools/sim/judge.h"
#include "tools/sim/process.h"

namespace runshelf::sim {

struct ServerConfig {
  std::string service;
  std::string name;
  uint32_t slots = 20;
  uint32_t queue_limit = 40;
  Duration service_time_min = std::chrono::milliseconds(2);
  Duration service_time_max = std::chrono::milliseconds(8);
  Duration cold_start = std::chrono::seconds(2);
  double cold_factor = 4;
  bool checks_grants = true;  // False: the naive server that trusts its caller.
};

struct ServerRequest {
  uint64_t request_id = 0;  // Unique for each forwarded attempt.
  uint64_t operation = 0;
  uint32_t sending = 0;
  std::optional<SlotNumber> slot;
  std::optional<FencingToken> token;
  Duration time_left{0};  // Counts from when the server reads the request.
};

enum class ServerOutcome {
  kExecuted,
  kNotOwner,
  kOverloaded,
  kDeadline,
  kDraining,
  kCancelled,
  kConnectionRefused,  // No process listens; certainly not run.
  kConnectionLost,     // The process ended; may have run.
};

struct ServerAnswer {
  ServerOutcome outcome = ServerOutcome::kConnectionRefused;
  uint64_t operation = 0;  // Echoed.
};

struct ServerHealth {
  bool cold = false;
  uint32_t running = 0;
  uint32_t queued = 0;
};

class Server {
 public:
  using AnswerHandler = std::function<void(const ServerAnswer&)>;
  // nullopt: the connection was refused. False: the token was too low.
  using GrantHandler = std::function<void(std::optional<bool> accepted)>;
  // nullopt: the connection was refused.
  using HealthHandler = std::function<void(std::optional<ServerHealth>)>;

  Server(const ServerConfig& config, EventQueue& queue, Random& random, Judge& judge,
         const DriftingClock& clock);

  void Start(bool cold);
  void Kill();
  void Pause() { process_.Pause(); }
  void Resume() { process_.Resume(); }

  // Called from the same machine; the handlers run after the local hop, or never while frozen.
  void PushGrant(const coordination::ServerGrant& grant, GrantHandler done);
  void Submit(const ServerRequest& request, AnswerHandler done);
  void Cancel(uint64_t request_id);
  void ReadHealth(HealthHandler done);
  void Drain();

  // A slow dependency: service times are this many times as long.
  void SetSlowness(double factor) { slowness_ = factor; }
  // The next answers are lost: executed, then the connection is cut.
  void LoseAnswers(uint32_t count) { answers_to_lose_ = count; }

  const Process& process() const { return process_; }
  ServerRun run() const { return run_; }
  const ServerConfig& config() const { return config_; }

 private:
  struct Pending {
    ServerRequest request;
    AnswerHandler done;
    Instant deadline{};
    bool running = false;
  };

  void Accept(uint64_t request_id);
  void StartQueued();
  void Run(uint64_t request_id);
  void Finish(uint64_t request_id);
  void Answer(uint64_t request_id, ServerOutcome outcome);
  ServerOutcome CheckAndExecute(const Pending& pending);
  bool MayExecute(Instant now, const ServerRequest& request) const;
  void InstallGrant(const coordination::ServerGrant& grant, const GrantHandler& done);
  Duration ServiceTime();
  double ColdFactor() const;
  Instant Now() const { return clock_.At(queue_.Now()); }

  ServerConfig config_;
  EventQueue& queue_;
  Random& random_;
  Judge& judge_;
  const DriftingClock& clock_;
  Process process_;
  ServerRun run_ = 0;
  server_standin::GrantBook grants_;
  std::map<uint64_t, Pending> pending_;
  std::deque<uint64_t> queued_;
  uint32_t running_ = 0;
  bool draining_ = false;
  bool cold_ = false;
  TrueTime started_at_{};
  double slowness_ = 1;
  uint32_t answers_to_lose_ = 0;
};

}  // namespace runshelf::sim
