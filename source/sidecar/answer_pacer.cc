#include "source/sidecar/answer_pacer.h"

#include <algorithm>
#include <utility>

namespace runshelf::sidecar {
namespace {

// The rest of the link is left for small answers, requests and packet overhead.
constexpr double kShareOfLink = 0.8;
// A burst is at most what the pacer's rate allows in this time.
constexpr double kBurstSeconds = 0.006;
constexpr double kMinBurstBytes = 8192;
constexpr double kSizeSmoothing = 0.1;
// Size assumed of large answers until the first one is known.
constexpr double kAssumedAnswerBytes = 65536;

}  // namespace

AnswerPacer::AnswerPacer(event::EventLoop& loop, double link_bytes_per_second)
    : loop_(loop),
      bytes_per_second_(link_bytes_per_second * kShareOfLink),
      burst_bytes_(std::max(kMinBurstBytes, bytes_per_second_ * kBurstSeconds)),
      allowed_bytes_(burst_bytes_),
      refilled_at_(loop.Now()),
      timer_(loop, [this] { WriteAllowed(); }) {}

void AnswerPacer::Enqueue(PacedAnswer* answer) {
  const bool queued = std::any_of(waiting_.begin(), waiting_.end(),
                                  [&](const Waiting& waiting) { return waiting.answer == answer; });
  if (!queued) waiting_.push_back({answer, loop_.Now()});
  WriteAllowed();
}

void AnswerPacer::Remove(PacedAnswer* answer) {
  std::erase_if(waiting_, [&](const Waiting& waiting) { return waiting.answer == answer; });
}

void AnswerPacer::OnAnswerSize(uint64_t bytes) {
  const auto size = static_cast<double>(bytes);
  const double smoothed = answer_bytes_.value_or(size);
  answer_bytes_ = smoothed + (size - smoothed) * kSizeSmoothing;
}

Duration AnswerPacer::ExpectedDelay() const {
  if (bytes_per_second_ <= 0) return Duration(0);
  const double answer_bytes = answer_bytes_.value_or(kAssumedAnswerBytes);
  double bytes = answer_bytes * static_cast<double>(expected_answers_ + 1);
  for (const Waiting& waiting : waiting_) {
    bytes += static_cast<double>(waiting.answer->bytes_to_write());
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(bytes / bytes_per_second_));
}

PacerBacklog AnswerPacer::backlog() const {
  const Instant now = loop_.Now();
  PacerBacklog backlog;
  for (const Waiting& waiting : waiting_) {
    ++backlog.answers;
    backlog.bytes += waiting.answer->waiting_bytes();
    backlog.longest_wait = std::max(backlog.longest_wait, now - waiting.since);
  }
  return backlog;
}

void AnswerPacer::Refill() {
  const Instant now = loop_.Now();
  const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
  refilled_at_ = now;
  allowed_bytes_ = std::min(burst_bytes_, allowed_bytes_ + seconds * bytes_per_second_);
}

bool AnswerPacer::IsLate(const PacedAnswer& answer, Instant now) const {
  const double seconds = static_cast<double>(answer.bytes_to_write()) / bytes_per_second_;
  return now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)) >
         answer.due_time();
}

// Half of the time that a late answer has left is for the answers due before it, which have been
// admitted to be complete within their own targets, and for its own bytes.
Instant AnswerPacer::DueTimeNow(const PacedAnswer& answer, Instant now) const {
  const Instant due_time = answer.due_time();
  if (!IsLate(answer, now)) return due_time;
  return due_time + (answer.deadline() - due_time) / 2;
}

AnswerPacer::Queue::iterator AnswerPacer::MostUrgent() {
  if (bytes_per_second_ <= 0) return waiting_.begin();
  const Instant now = loop_.Now();
  return std::min_element(waiting_.begin(), waiting_.end(),
                          [&](const Waiting& left, const Waiting& right) {
                            return DueTimeNow(*left.answer, now) < DueTimeNow(*right.answer, now);
                          });
}

void AnswerPacer::WriteAllowed() {
  if (writing_) return;
  writing_ = true;
  Refill();
  while (!waiting_.empty() && (allowed_bytes_ > 0 || bytes_per_second_ <= 0)) {
    const auto next = MostUrgent();
    PacedAnswer* answer = next->answer;
    next->since = loop_.Now();
    const size_t waiting = answer->waiting_bytes();
    const size_t limit =
        bytes_per_second_ <= 0 ? waiting : std::min(waiting, static_cast<size_t>(kMinBurstBytes));
    // The answer runs out of waiting bytes and is queued again when it has more. It is removed
    // before the call, which may destroy it.
    if (limit >= waiting) waiting_.erase(next);
    const size_t written = answer->WritePaced(limit);
    if (written == 0) Remove(answer);
    allowed_bytes_ -= static_cast<double>(written);
  }
  writing_ = false;
  if (waiting_.empty()) return;
  const double missing = std::max(kMinBurstBytes, -allowed_bytes_);
  timer_.Start(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(missing / bytes_per_second_)));
}

}  // namespace runshelf::sidecar
