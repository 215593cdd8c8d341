// Decides which requests enter the slots of the server beside a daemon, and which wait or are
// refused. See docs/ADMISSION.md for what was weighed.
//
// Order: strictly by weight, then by the earliest deadline. A request that cannot be answered by
// its deadline, given the measured service time of its class, what is ahead of it and how fast the
// slots become free, is refused at once.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::admission {

struct AdmissionRequest {
  uint64_t id = 0;  // Unique among the requests in the queue or in a slot.
  std::string caller_class;
  uint32_t weight = 1;  // Of the table's cell; higher is served first.
  Instant deadline;
};

enum class RefusalReason {
  kQueueFull,  // As many requests of this weight or higher fill the queue.
  kDisplaced,  // Waited, and gave its place to a request of higher weight.
  kDeadline,   // Could not be answered by its deadline.
  kDraining,   // The server is leaving.
};

// Returns the value of Runshelf-Refused for `reason`: "overloaded", "deadline" or "leaving".
const char* RefusalName(RefusalReason reason);

// The request was never handed to the server: certainly not run.
struct Refusal {
  uint64_t id = 0;
  RefusalReason reason = RefusalReason::kQueueFull;
  Duration retry_after{0};  // Never zero.

  bool operator==(const Refusal&) const = default;
};

// What the shell must carry out after a call, in order.
struct AdmissionChanges {
  std::vector<uint64_t> started;  // Hand to the server now; each needs one OnCompleted.
  std::vector<Refusal> refused;   // Answer now.

  bool operator==(const AdmissionChanges&) const = default;
};

// How a started request left its slot.
enum class Completion {
  kServed,  // The server answered; its service time is measured.
  kShed,    // The server refused for overload: the number of requests run at once shrinks.
  kFailed,  // Lost, cancelled or refused otherwise; tells nothing about the service time.
};

struct AdmissionConfig {
  uint32_t slots = 20;  // Requests that the server runs at once.
  size_t queue_max = 200;
  Duration cold_ramp = std::chrono::seconds(10);  // From cold_share to all slots.
  double cold_share = 0.2;
  double shed_factor = 0.7;  // Of the concurrency limit, at a shed signal.
  Duration shed_interval = std::chrono::milliseconds(100);  // At most one decrease within.
  // Largest part of the slots that one class may hold while a class of higher weight, or of lower
  // weight only, was active within `class_active_time`. Keeps one slow class from stalling all.
  double share_below_higher_weight = 0.75;
  double share_of_highest_weight = 0.9;
  Duration class_active_time = std::chrono::seconds(10);
  double service_time_smoothing = 0.1;  // Weight of a new measurement.
  // A request is refused when it could be answered in time only if it took less than the mean
  // service time of its class plus so many mean deviations. With zero, half of the requests that
  // are admitted last are answered late, and under lasting overload these are most.
  double service_time_deviations = 0;
  Duration retry_after_min = std::chrono::milliseconds(50);
  // Refusals of about this long count as requests that come back: those who are told to wait less
  // than it takes to serve them are refused again. With one key in demand twelve times beyond what
  // its server completes, eleven of twelve come back in vain.
  Duration refusal_memory = std::chrono::seconds(1);
  Duration retry_after_draining = std::chrono::milliseconds(200);
};

// One in front of each server. Deterministic; not thread-safe: the shell holds one lock.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(const AdmissionConfig& config);

  // The request is queued when it is in neither list of the result.
  AdmissionChanges Offer(Instant now, const AdmissionRequest& request);

  // A started request left its slot after `service_time`.
  AdmissionChanges OnCompleted(Instant now, uint64_t id, Completion completion,
                               Duration service_time);

  // Refuses what cannot be answered in time, starts what a growing limit allows. Call at least
  // every 10 ms while something waits.
  AdmissionChanges Tick(Instant now);

  // A caller has gone. A waiting request is dropped (true: certainly not run); a started one keeps
  // its slot until OnCompleted (false).
  bool Cancel(uint64_t id);

  AdmissionChanges SetCapacity(Instant now, uint32_t slots);

  // The server started lately: the limit starts over from cold_share. Ignored during a ramp.
  void SetCold(Instant now);

  // Refuses new requests from now on; what waits or runs is finished.
  void Drain() { draining_ = true; }

  size_t queued() const { return waiting_.size(); }
  size_t running() const { return running_.size(); }
  uint32_t slots() const { return slots_; }
  bool draining() const { return draining_; }
  bool idle() const { return waiting_.empty() && running_.empty(); }

  // Requests that may run at once now: slots, less what a cold or shedding server cannot take.
  // At least 1 while there are slots.
  uint32_t ConcurrencyLimit(Instant now) const;

  // Smoothed service time of all classes; zero until the first measurement.
  Duration ServiceTime() const;

 private:
  // Highest weight first, then earliest deadline, then lowest id.
  struct Order {
    bool operator()(const AdmissionRequest& left, const AdmissionRequest& right) const;
  };
  using Waiting = std::set<AdmissionRequest, Order>;
  struct ClassState {
    uint32_t running = 0;
    uint32_t weight = 0;  // Of its latest request.
    bool offered = false;
    Instant last_offer{};
    double service_time_us = 0;  // Smoothed; zero until the first measurement.
    double deviation_us = 0;     // Smoothed distance of measurements from service_time_us.
  };

  struct Outlook;  // What waiting requests of each class have to expect.

  void Start(const AdmissionRequest& request, AdmissionChanges& changes);
  void StartAllowed(Instant now, AdmissionChanges& changes);
  void RefuseLate(Instant now, AdmissionChanges& changes);
  void RefuseOneOfTooMany(Instant now, const AdmissionRequest& newcomer, AdmissionChanges& changes);
  void Erase(Waiting::iterator position);
  void NoteClass(Instant now, const AdmissionRequest& request);
  uint32_t ClassCap(Instant now, const std::string& caller_class) const;
  Outlook MakeOutlook(Instant now) const;
  double ServiceTimeOf(const ClassState& state) const;
  double MarginOf(const ClassState& state) const;
  double CompletionsPerMicrosecond() const;
  Duration WaitBehind(size_t requests) const;
  Refusal MakeRefusal(Instant now, uint64_t id, RefusalReason reason);
  void OnShed(Instant now);
  void OnServed(ClassState& state, Duration service_time);

  AdmissionConfig config_;
  uint32_t slots_;
  double shed_limit_;  // Additive increase, multiplicative decrease; at most slots_.
  std::optional<Instant> last_shed_;
  std::optional<Instant> cold_since_;
  bool draining_ = false;
  double service_time_us_ = 0;
  double refused_lately_ = 0;  // Decays with refusal_memory.
  Instant refused_at_{};
  Waiting waiting_;
  std::unordered_map<uint64_t, Waiting::iterator> waiting_by_id_;
  std::unordered_map<uint64_t, std::string> running_;  // Id to class.
  std::map<std::string, ClassState> classes_;
};

}  // namespace runshelf::admission
