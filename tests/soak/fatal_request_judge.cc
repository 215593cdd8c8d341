#include "tests/soak/fatal_request_judge.h"

#include <fmt/format.h>

namespace runshelf::soak {
namespace {

constexpr size_t kEndsThatShow = 3;
// Nodes in touch must know by then.
constexpr Duration kTimeToLearn = std::chrono::seconds(3);
// Runs that are allowed after that.
constexpr int kLaterRuns = 3;

}  // namespace

void FatalRequestJudge::OnBegan(const std::string& target, Instant at, bool in_touch) {
  Request& request = requests_[target];
  if (!in_touch || request.ends.size() < kEndsThatShow) return;
  if (at - request.ends[kEndsThatShow - 1] <= kTimeToLearn) return;
  if (++request.begun_too_late <= kLaterRuns) return;
  violations_.push_back(
      fmt::format("budget: {} began once more, {} ms after the third worker had ended under it; {} "
                  "ended so far, {} began so late",
                  target, ToMilliseconds(at - request.ends[kEndsThatShow - 1]), request.ends.size(),
                  request.begun_too_late));
}

void FatalRequestJudge::OnEnded(const std::string& target, Instant at) {
  requests_[target].ends.push_back(at);
  ++ends_;
}

}  // namespace runshelf::soak
