// What one simulated scenario showed: violations by kind, and the measures.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tools/sim/virtual_time.h"

namespace runshelf::sim {

enum class ViolationKind {
  kDoubleOwner,
  kLostAssignment,
  kFalseNotRun,
  kRepeatedRun,
  kWrongAnswer,
  kRevertedEdit,
  kWorkAfterLeave,
  kCutRequest,
};

inline constexpr size_t kViolationKinds = 8;

// "double_owner", "lost_assignment", ...
std::string_view ViolationName(ViolationKind kind);

struct Violation {
  ViolationKind kind = ViolationKind::kDoubleOwner;
  TrueTime at{};
  std::string detail;
};

class ViolationLog {
 public:
  void Add(ViolationKind kind, TrueTime at, std::string detail);

  uint64_t count(ViolationKind kind) const { return counts_[static_cast<size_t>(kind)]; }
  uint64_t total() const;
  // The first ones of each kind; the rest is only counted.
  const std::vector<Violation>& kept() const { return kept_; }

 private:
  std::array<uint64_t, kViolationKinds> counts_{};
  std::vector<Violation> kept_;
};

struct UnavailableTime {
  Duration largest{0};
  Duration sum{0};  // Over all slots.
};

struct Churn {
  uint64_t moved_slots = 0;
  uint64_t least_necessary = 0;
};

struct Imbalance {
  double mean = 1;     // Of largest over mean executions per server, over all windows.
  double largest = 1;  // Of any window.
};

struct RequestCounts {
  uint64_t sent = 0;
  uint64_t ran = 0;
  uint64_t not_run = 0;
  uint64_t may_have_run = 0;
  uint64_t unanswered = 0;
  uint64_t executions = 0;
};

struct Report {
  ViolationLog violations;
  UnavailableTime unavailable;
  Churn churn;
  Imbalance imbalance;
  RequestCounts requests;
  uint64_t edits_accepted = 0;
  uint64_t leaders_seen = 0;
  uint64_t datagrams = 0;
  Duration simulated{0};
};

// key=value lines; the same report gives the same bytes.
std::string FormatReport(const Report& report);

}  // namespace runshelf::sim
