// The worker slots of the stand-in server: a bounded number of requests in work, a short queue,
// and the one place where a request takes effect.
//
// A request occupies a worker slot for the service time and takes effect at the end of it. At that
// instant, and under one lock, the executor checks slot, fencing token, expiry, deadline and
// cancellation and appends to the record. A refusal therefore always means "certainly not run".
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/slot.h"
#include "tools/server_standin/execution_record.h"
#include "tools/server_standin/grant_book.h"

namespace runshelf::server_standin {

struct ServerConfig {
  std::string service;
  std::string server;         // Unique name, for the record.
  uint32_t slots = 20;        // Requests in work at the same time.
  uint32_t queue_limit = 40;  // Requests that wait for a worker slot.
  Duration service_time = std::chrono::milliseconds(5);
  Duration cold_start{0};       // The service time starts `cold_factor` times as long and shrinks
  double cold_factor = 5.0;     // to its normal length over this period.
  Duration load_report_lag{0};  // Age of the load that GET /health reports.
  std::string record_file;      // Appended to; none when empty.
};

// A request as the executor sees it.
struct ServerRequest {
  std::string request_id;
  std::string idempotency_key;
  std::string key;
  std::string method;
  std::string path;
  std::optional<SlotNumber> slot;
  FencingToken token;  // Read only when `slot` is present.
  Duration time_left{0};
};

enum class Refusal { kNotOwner, kOverloaded, kDeadline, kDraining, kCancelled };

// The value of the response header Runshelf-Refused.
std::string_view RefusalName(Refusal refusal);

// How a request ended. It was executed exactly when `refusal` is absent.
struct ExecutionResult {
  std::optional<Refusal> refusal;
  Duration retry_after{0};   // With kOverloaded.
  bool lose_answer = false;  // An injected fault: execute, then cut the connection.
};

enum class ServerState { kServing, kDraining, kCold };

struct HealthReport {
  ServerState state = ServerState::kServing;
  uint32_t slots = 0;
  uint32_t running = 0;
  uint32_t queued = 0;
};

// Faults for tests; absent members stay as they are.
struct Faults {
  std::optional<Duration> service_time;
  std::optional<Duration> freeze;        // No request makes progress and no endpoint answers.
  std::optional<uint32_t> lose_answers;  // Cut the connection after this many next executions.
  std::optional<bool> shed;              // Refuse every new request as overloaded.
  std::optional<Duration> load_report_lag;
};

// Safe to call from any thread.
class RequestExecutor {
 public:
  RequestExecutor(ServerConfig config, const Clock& clock);

  // Blocks until the request was executed or refused.
  ExecutionResult Execute(const ServerRequest& request);

  // Makes sure that the request does not execute from now on, also when it arrives only later.
  // True: it was not executed and will not be. False: it was executed before.
  bool Cancel(const std::string& request_id);

  // False when the token is lower than the highest accepted.
  bool InstallGrant(const Grant& grant);

  void Drain();
  HealthReport Health();
  void Inject(const Faults& faults);

  // Blocks while the server is frozen by a fault.
  void WaitWhileFrozen();

  // The record from entry `first` on, one JSON object a line.
  std::string RecordLines(size_t first) const;

  const ServerConfig& config() const { return config_; }

 private:
  enum class Stage { kQueued, kRunning, kDone };

  struct Pending {
    std::condition_variable wake;
    Stage stage = Stage::kQueued;
    bool cancelled = false;
  };

  using Lock = std::unique_lock<std::mutex>;

  ExecutionResult RunInSlot(Lock& lock, const ServerRequest& request, Pending& pending,
                            Instant deadline);
  std::optional<Refusal> CheckArrival(const ServerRequest& request, Instant now) const;
  std::optional<Refusal> Check(const ServerRequest& request, const Pending& pending, Instant now,
                               Instant deadline) const;
  bool WaitForSlot(Lock& lock, Pending& pending, Instant deadline);
  void WaitServiceTime(Lock& lock, Pending& pending);
  void ReleaseSlot();
  void WaitWhileFrozen(Lock& lock);
  Duration CurrentServiceTime(Instant now) const;
  Duration QueueDelay(Instant now) const;
  void Append(RecordEntry entry);
  void ForgetOldCancellations(Instant now);

  struct HealthSample {
    Instant at;
    HealthReport report;
  };

  struct Cancellation {
    std::string request_id;
    Instant at;
  };

  const ServerConfig config_;
  const Clock& clock_;
  const Instant started_at_;

  mutable std::mutex mutex_;
  GrantBook grants_;
  std::vector<RecordEntry> record_;
  std::ofstream record_file_;
  std::unordered_set<std::string> executed_ids_;
  std::unordered_set<std::string> cancelled_ids_;
  std::deque<Cancellation> cancellations_;  // Ascending by time, to forget them.
  std::unordered_multimap<std::string, Pending*> pending_;
  std::deque<Pending*> queue_;
  uint32_t running_ = 0;
  bool draining_ = false;
  Duration service_time_;
  Duration load_report_lag_;
  Instant frozen_until_;
  std::condition_variable thaw_;
  uint32_t lose_answers_ = 0;
  bool shed_ = false;
  std::deque<HealthSample> health_samples_;
};

}  // namespace runshelf::server_standin
