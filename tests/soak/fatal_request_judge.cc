#include "tests/soak/fatal_request_judge.h"

#include <fmt/format.h>

namespace runshelf::soak {
namespace {

// Worker crashes after which a request counts as fatal.
constexpr size_t kCrashThreshold = 3;
// Time within which nodes unaffected by faults must learn that a request is fatal.
constexpr Duration kPropagationTime = std::chrono::seconds(3);
// Runs tolerated after that time.
constexpr int kAllowedLaterRuns = 3;

}  // namespace

void FatalRequestJudge::OnBegan(const FatalRun& run) {
  Request& request = requests_[run.target];
  request.runs.push_back(run);
  if (!run.in_touch || request.ends.size() < kCrashThreshold) return;
  const Instant known_at = request.ends[kCrashThreshold - 1];
  if (run.at - known_at <= kPropagationTime) return;
  if (++request.begun_too_late <= kAllowedLaterRuns) return;
  violations_.push_back(
      fmt::format("budget: {} began once more, {} ms after the third worker had ended under it; {} "
                  "ended so far, {} began so late; runs:{}",
                  run.target, ToMilliseconds(run.at - known_at), request.ends.size(),
                  request.begun_too_late, History(request)));
}

std::string FatalRequestJudge::History(const Request& request) {
  std::string history;
  for (const FatalRun& run : request.runs) {
    history += fmt::format(" {} at {} ms by n{}{},", run.worker,
                           ToMilliseconds(run.at - request.runs.front().at), run.node,
                           run.in_touch ? "" : " (disturbed)");
  }
  return history;
}

void FatalRequestJudge::OnEnded(const std::string& target, Instant at) {
  requests_[target].ends.push_back(at);
  ++ends_;
}

}  // namespace runshelf::soak
