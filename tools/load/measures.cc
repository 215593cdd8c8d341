#include "tools/load/measures.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace runshelf::load {
namespace {

constexpr Duration kImbalanceWindow = std::chrono::seconds(1);
constexpr size_t kLeastExecutionsPerWorker = 10;  // In a window, on average.

// Failures for want of a server, as opposed to limits, priorities, the caller's own mistakes and
// the loss of the daemon that the caller spoke to.
constexpr std::array<std::string_view, 6> kUnavailableErrors = {
    "no_owner",          "no_target",      "no_table", "retry_budget_exhausted",
    "deadline_exceeded", "connection_lost"};

bool IsUnavailable(const AttemptRecord& attempt) {
  return std::find(kUnavailableErrors.begin(), kUnavailableErrors.end(), attempt.error) !=
         kUnavailableErrors.end();
}

Latency LatencyOf(std::vector<Duration> samples) {
  if (samples.empty()) return {};
  std::sort(samples.begin(), samples.end());
  const auto at = [&](size_t percent) { return samples[(samples.size() - 1) * percent / 100]; };
  return {samples.size(), at(50), at(99)};
}

// The time in which the measured load ran.
struct LoadPeriod {
  Instant start;
  Instant end;
};

bool IsMeasured(const AttemptRecord& attempt) { return !attempt.direct && !attempt.warm_up; }

std::optional<LoadPeriod> LoadPeriodOf(const Evidence& evidence) {
  std::optional<LoadPeriod> period;
  for (const AttemptRecord& attempt : evidence.attempts) {
    if (!IsMeasured(attempt)) continue;
    if (!period) period = {attempt.scheduled_at, attempt.done_at};
    period->start = std::min(period->start, attempt.scheduled_at);
    period->end = std::max(period->end, attempt.done_at);
  }
  return period;
}

std::optional<Instant> LostAt(const Evidence& evidence, const std::string& server) {
  for (const LostServer& lost : evidence.lost) {
    if (lost.server == server) return lost.at;
  }
  return std::nullopt;
}

bool LostBefore(const Evidence& evidence, Instant instant) {
  return std::any_of(evidence.lost.begin(), evidence.lost.end(),
                     [&](const LostServer& lost) { return lost.at <= instant; });
}

// Workers of `service` that were not lost before `window_end`.
size_t WorkersAlive(const Evidence& evidence, const std::string& service, Instant window_end) {
  size_t alive = 0;
  for (const auto& [server, its_service] : evidence.service_of_server) {
    const std::optional<Instant> lost_at = LostAt(evidence, server);
    if (its_service == service && (!lost_at || *lost_at >= window_end)) ++alive;
  }
  return alive;
}

std::map<std::string, Imbalance> MeasureImbalance(const Evidence& evidence, LoadPeriod period) {
  using Counts = std::map<std::string, size_t>;                 // By server.
  std::map<std::pair<std::string, int64_t>, Counts> by_window;  // By service and window.
  for (const Execution& execution : evidence.executions) {
    if (execution.at < period.start || execution.at > period.end) continue;
    const int64_t window = (execution.at - period.start) / kImbalanceWindow;
    ++by_window[{execution.service, window}][execution.server];
  }
  std::map<std::string, Imbalance> imbalance;
  for (const auto& [service_and_window, counts] : by_window) {
    const auto& [service, window] = service_and_window;
    const Instant window_end = period.start + kImbalanceWindow * (window + 1);
    const size_t workers = std::max(counts.size(), WorkersAlive(evidence, service, window_end));
    size_t sum = 0;
    size_t largest = 0;
    for (const auto& [server, count] : counts) {
      sum += count;
      largest = std::max(largest, count);
    }
    if (sum < kLeastExecutionsPerWorker * workers) continue;
    const double ratio =
        static_cast<double>(largest) * static_cast<double>(workers) / static_cast<double>(sum);
    Imbalance& result = imbalance[service];
    result.largest = std::max(result.largest, ratio);
    result.mean += ratio;
    ++result.windows;
  }
  for (auto& [service, result] : imbalance) result.mean /= static_cast<double>(result.windows);
  return imbalance;
}

std::map<std::string, Churn> MeasureChurn(const Evidence& evidence, LoadPeriod period) {
  std::map<std::string, Churn> churn;
  for (const auto& [slot, tenures] : TenuresBySlot(evidence)) {
    Churn& result = churn[slot.service];
    const Tenure* owner = nullptr;
    for (const Tenure& tenure : tenures) {
      const bool under_load = tenure.start >= period.start && tenure.start <= period.end;
      const bool changed = owner != nullptr && owner->server != tenure.server;
      if (changed && under_load) ++result.moved_slots;
      owner = &tenure;
      const std::optional<Instant> lost_at = LostAt(evidence, tenure.server);
      if (lost_at && tenure.start <= *lost_at && *lost_at < tenure.end) ++result.least_necessary;
    }
  }
  return churn;
}

// The instant from which the tenure served nobody: its end, or the loss of its server before that.
Instant ServedUntil(const Evidence& evidence, const Tenure& tenure) {
  const std::optional<Instant> lost_at = LostAt(evidence, tenure.server);
  const bool lost_within = lost_at && *lost_at >= tenure.start;
  return lost_within ? std::min(tenure.end, *lost_at) : tenure.end;
}

std::map<std::string, Ownerless> MeasureOwnerless(const Evidence& evidence, LoadPeriod period) {
  std::map<std::string, Ownerless> ownerless;
  for (const auto& [slot, tenures] : TenuresBySlot(evidence)) {
    Ownerless& result = ownerless[slot.service];
    Duration sum(0);
    for (size_t index = 0; index < tenures.size(); ++index) {
      const Instant from = std::max(ServedUntil(evidence, tenures[index]), period.start);
      const bool has_next = index + 1 < tenures.size();
      const Instant until = has_next ? std::min(tenures[index + 1].start, period.end) : period.end;
      if (until <= from) continue;
      result.longest = std::max(result.longest, until - from);
      sum += until - from;
    }
    result.sum += sum;
    if (sum > Duration(0)) ++result.slots;
  }
  return ownerless;
}

struct Period {
  Instant start;
  Instant end;
};

// Joins overlapping periods and adds them up.
void AddPeriods(std::vector<Period> periods, Unavailability& result) {
  std::sort(periods.begin(), periods.end(),
            [](const Period& left, const Period& right) { return left.start < right.start; });
  for (size_t index = 0; index < periods.size();) {
    Period joined = periods[index++];
    while (index < periods.size() && periods[index].start <= joined.end) {
      joined.end = std::max(joined.end, periods[index++].end);
    }
    const Duration length = joined.end - joined.start;
    result.longest = std::max(result.longest, length);
    result.sum += length;
    ++result.periods;
  }
}

// The periods without service that `attempts` of one slot show.
std::vector<Period> UnavailablePeriods(const std::vector<const AttemptRecord*>& attempts) {
  std::set<Instant> successes;
  Instant last;
  for (const AttemptRecord* attempt : attempts) {
    if (attempt->Succeeded()) successes.insert(attempt->done_at);
    last = std::max(last, attempt->done_at);
  }
  std::vector<Period> periods;
  for (const AttemptRecord* attempt : attempts) {
    if (attempt->Succeeded()) {
      if (attempt->done_at - attempt->sent_at <= kSlowAnswer) continue;
      periods.push_back({attempt->sent_at, attempt->done_at});
    } else if (IsUnavailable(*attempt)) {
      const auto next = successes.upper_bound(attempt->sent_at);
      periods.push_back({attempt->sent_at, next == successes.end() ? last : *next});
    }
  }
  return periods;
}

std::map<std::string, Unavailability> MeasureUnavailability(const Evidence& evidence) {
  std::map<std::pair<std::string, std::string>, SlotNumber> slots;  // By service and key.
  for (const Execution& execution : evidence.executions) {
    if (execution.slot) slots[{execution.service, execution.key}] = *execution.slot;
  }
  // Keys that were never executed stand alone, by name; the others go by slot.
  std::map<std::pair<std::string, std::string>, std::vector<const AttemptRecord*>> groups;
  for (const AttemptRecord& attempt : evidence.attempts) {
    if (!IsMeasured(attempt)) continue;
    const auto slot = slots.find({attempt.service, attempt.key});
    const std::string group =
        slot == slots.end() ? attempt.key : "slot " + std::to_string(slot->second);
    groups[{attempt.service, group}].push_back(&attempt);
  }
  std::map<std::string, Unavailability> unavailability;
  for (const auto& [service_and_group, attempts] : groups) {
    AddPeriods(UnavailablePeriods(attempts), unavailability[service_and_group.first]);
  }
  return unavailability;
}

void MeasureAnswers(const Evidence& evidence, Measures& measures) {
  std::map<ServiceAndClass, std::vector<Duration>> latencies;
  std::vector<Duration> through_daemons;
  std::vector<Duration> whole_run;
  std::vector<Duration> direct;
  for (const AttemptRecord& attempt : evidence.attempts) {
    if (attempt.direct && attempt.Succeeded()) direct.push_back(attempt.Latency());
    if (!IsMeasured(attempt)) continue;
    const ServiceAndClass cell{attempt.service, attempt.caller_class};
    AnswerCounts& counts = measures.answers[cell];
    ++counts.attempts;
    if (!attempt.Succeeded()) {
      ++counts.failures[attempt.error.empty() ? attempt.wrong_answer : attempt.error];
      continue;
    }
    ++counts.succeeded;
    latencies[cell].push_back(attempt.Latency());
    if (attempt.attempt > 1) continue;
    whole_run.push_back(attempt.Latency());
    if (!LostBefore(evidence, attempt.done_at)) through_daemons.push_back(attempt.Latency());
  }
  for (auto& [cell, samples] : latencies) {
    measures.answers[cell].latency = LatencyOf(std::move(samples));
  }
  measures.through_daemons = LatencyOf(std::move(through_daemons));
  measures.whole_run = LatencyOf(std::move(whole_run));
  measures.direct = LatencyOf(std::move(direct));
}

}  // namespace

Measures Measure(const Evidence& evidence) {
  Measures measures;
  measures.executions = evidence.executions.size();
  MeasureAnswers(evidence, measures);
  const std::optional<LoadPeriod> period = LoadPeriodOf(evidence);
  if (!period) return measures;
  measures.imbalance = MeasureImbalance(evidence, *period);
  measures.churn = MeasureChurn(evidence, *period);
  measures.ownerless = MeasureOwnerless(evidence, *period);
  measures.unavailability = MeasureUnavailability(evidence);
  return measures;
}

}  // namespace runshelf::load
