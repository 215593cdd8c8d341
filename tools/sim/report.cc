#include "tools/sim/report.h"

#include <fmt/format.h>

#include <utility>

namespace runshelf::sim {
namespace {

constexpr uint64_t kKeptOfEachKind = 5;

constexpr std::array<std::string_view, kViolationKinds> kNames = {
    "double_owner", "lost_assignment", "false_not_run",    "repeated_run",
    "wrong_answer", "reverted_edit",   "work_after_leave", "cut_request",
};

double Milliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

}  // namespace

std::string_view ViolationName(ViolationKind kind) { return kNames[static_cast<size_t>(kind)]; }

void ViolationLog::Add(ViolationKind kind, TrueTime at, std::string detail) {
  uint64_t& count = counts_[static_cast<size_t>(kind)];
  ++count;
  if (count <= kKeptOfEachKind) {
    kept_.push_back(Violation{kind, at, std::move(detail)});
  }
}

uint64_t ViolationLog::total() const {
  uint64_t sum = 0;
  for (const uint64_t count : counts_) {
    sum += count;
  }
  return sum;
}

std::string FormatReport(const Report& report) {
  std::string text;
  for (size_t kind = 0; kind < kViolationKinds; ++kind) {
    text += fmt::format("{}={}\n", kNames[kind],
                        report.violations.count(static_cast<ViolationKind>(kind)));
  }
  text += fmt::format("unavailable_largest_ms={:.1f}\n", Milliseconds(report.unavailable.largest));
  text += fmt::format("unavailable_sum_ms={:.1f}\n", Milliseconds(report.unavailable.sum));
  text += fmt::format("churn_moved_slots={}\n", report.churn.moved_slots);
  text += fmt::format("churn_least_necessary={}\n", report.churn.least_necessary);
  text += fmt::format("imbalance_mean={:.3f}\n", report.imbalance.mean);
  text += fmt::format("imbalance_largest={:.3f}\n", report.imbalance.largest);
  text += fmt::format("requests_sent={}\n", report.requests.sent);
  text += fmt::format("requests_ran={}\n", report.requests.ran);
  text += fmt::format("requests_not_run={}\n", report.requests.not_run);
  text += fmt::format("requests_may_have_run={}\n", report.requests.may_have_run);
  text += fmt::format("requests_unanswered={}\n", report.requests.unanswered);
  text += fmt::format("executions={}\n", report.requests.executions);
  text += fmt::format("edits_accepted={}\n", report.edits_accepted);
  text += fmt::format("datagrams={}\n", report.datagrams);
  text += fmt::format("simulated_ms={:.0f}\n", Milliseconds(report.simulated));
  return text;
}

}  // namespace runshelf::sim
