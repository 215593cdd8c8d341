// Embeds the admission queue in a simulated server and prints what a slow dependency of one class
// does to the others, with and without the share of slots that one class may hold.
//
// Virtual time: 20 slots, three classes. The middle class's service time rises from 20 ms to 1.5 s
// between second 5 and second 15 of 20. Prints one key=value line per configuration and class.
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "runshelf/admission/admission_queue.h"
#include "runshelf/common/random.h"

namespace {

using runshelf::Duration;
using runshelf::Instant;
using runshelf::SeededRandom;
using runshelf::admission::AdmissionChanges;
using runshelf::admission::AdmissionConfig;
using runshelf::admission::AdmissionQueue;
using runshelf::admission::AdmissionRequest;
using runshelf::admission::Completion;

constexpr Duration kStep = std::chrono::milliseconds(1);
constexpr Duration kLength = std::chrono::seconds(20);
constexpr Duration kSlowFrom = std::chrono::seconds(5);
constexpr Duration kSlowUntil = std::chrono::seconds(15);
constexpr Duration kUsualServiceTime = std::chrono::milliseconds(20);
constexpr Duration kSlowServiceTime = std::chrono::milliseconds(1500);
constexpr Duration kDeadline = std::chrono::seconds(2);

struct CallerClass {
  std::string name;
  uint32_t weight = 1;
  double requests_per_second = 0;
  bool slow = false;  // Waits for the slow dependency.
};

struct ClassReport {
  int offered = 0;
  int refused = 0;
  std::vector<Duration> waits;  // From the offer to the start.
};

struct Running {
  Instant ends_at;
  uint64_t id = 0;
  Duration service_time{0};

  bool operator>(const Running& other) const { return ends_at > other.ends_at; }
};

// One server whose slots are filled by an AdmissionQueue.
class SimulatedServer {
 public:
  SimulatedServer(const AdmissionConfig& config, const std::vector<CallerClass>& classes)
      : queue_(config), classes_(classes) {}

  std::map<std::string, ClassReport> Run() {
    const Instant start(std::chrono::seconds(100));
    for (now_ = start; now_ < start + kLength; now_ += kStep) {
      slow_ = now_ - start >= kSlowFrom && now_ - start < kSlowUntil;
      Complete();
      Apply(queue_.Tick(now_));
      for (const CallerClass& caller_class : classes_) Offer(caller_class);
    }
    return reports_;
  }

 private:
  void Offer(const CallerClass& caller_class) {
    const auto per_million = static_cast<uint64_t>(caller_class.requests_per_second * 1000);
    if (random_.Below(1'000'000) >= per_million) return;
    const AdmissionRequest request{++last_id_, caller_class.name, caller_class.weight,
                                   now_ + kDeadline};
    offers_.emplace(request.id, OfferedRequest{now_, caller_class.name, caller_class.slow});
    ++reports_[caller_class.name].offered;
    Apply(queue_.Offer(now_, request));
  }

  void Complete() {
    while (!running_.empty() && running_.top().ends_at <= now_) {
      const Running done = running_.top();
      running_.pop();
      Apply(queue_.OnCompleted(now_, done.id, Completion::kServed, done.service_time));
    }
  }

  void Apply(const AdmissionChanges& changes) {
    for (const uint64_t id : changes.started) {
      const OfferedRequest& offer = offers_.at(id);
      const Duration service_time = offer.slow && slow_ ? kSlowServiceTime : kUsualServiceTime;
      running_.push({now_ + service_time, id, service_time});
      reports_[offer.caller_class].waits.push_back(now_ - offer.at);
    }
    for (const auto& refusal : changes.refused) {
      ++reports_[offers_.at(refusal.id).caller_class].refused;
    }
  }

  struct OfferedRequest {
    Instant at;
    std::string caller_class;
    bool slow = false;
  };

  AdmissionQueue queue_;
  std::vector<CallerClass> classes_;
  SeededRandom random_{20261202};
  Instant now_;
  bool slow_ = false;
  uint64_t last_id_ = 0;
  std::map<uint64_t, OfferedRequest> offers_;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> running_;
  std::map<std::string, ClassReport> reports_;
};

double MillisecondsAt(std::vector<Duration> waits, double quantile) {
  if (waits.empty()) return 0;
  std::sort(waits.begin(), waits.end());
  const auto index = static_cast<size_t>(quantile * static_cast<double>(waits.size() - 1));
  return static_cast<double>(waits[index].count()) / 1000;
}

void Print(const std::string& scenario, const AdmissionConfig& config,
           const std::vector<CallerClass>& classes) {
  SimulatedServer server(config, classes);
  for (const auto& [name, report] : server.Run()) {
    fmt::print(
        "scenario={} class={} offered={} started={} refused={} wait_p50_ms={} wait_p99_ms={}\n",
        scenario, name, report.offered, report.waits.size(), report.refused,
        MillisecondsAt(report.waits, 0.5), MillisecondsAt(report.waits, 0.99));
  }
}

}  // namespace

int main() {
  const AdmissionConfig with_shares;
  AdmissionConfig without_shares;
  without_shares.share_below_higher_weight = 1;
  without_shares.share_of_highest_weight = 1;

  const std::vector<CallerClass> slow_middle = {
      {"high", 10, 200, false}, {"middle", 5, 200, true}, {"low", 1, 200, false}};
  Print("slow_middle_with_shares", with_shares, slow_middle);
  Print("slow_middle_without_shares", without_shares, slow_middle);
  std::vector<CallerClass> same_weight = slow_middle;
  for (CallerClass& caller_class : same_weight) caller_class.weight = 1;
  Print("slow_middle_deadline_order_only", without_shares, same_weight);

  std::vector<CallerClass> slow_high = slow_middle;
  slow_high[0].slow = true;
  slow_high[1].slow = false;
  Print("slow_high_with_shares", with_shares, slow_high);
  Print("slow_high_without_shares", without_shares, slow_high);
  return 0;
}
