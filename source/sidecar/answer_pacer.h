// Paces large answers to other nodes on the machine's link, so that small answers are not queued
// behind them.
//
// A large answer that is written as fast as the worker produces it fills the queue of a slow link,
// and every small answer then waits for the whole queue. The pacer writes large answers one after
// the other, at somewhat less than the bandwidth of the link, in the order in which they are due.
// An answer that can no longer be complete by its due time yields to others for a while, but is due
// again well before its caller gives up; otherwise newer answers could keep it waiting until then.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "source/event/event_loop.h"

namespace runshelf::sidecar {

// An answer with bytes waiting to be written.
class PacedAnswer {
 public:
  virtual ~PacedAnswer() = default;
  // Writes at most `max_bytes` of the waiting bytes and returns the number written. Zero means that
  // the reader is slow; the answer then calls AnswerPacer::Enqueue again once the reader is ready.
  // May complete and destroy the answer.
  virtual size_t WritePaced(size_t max_bytes) = 0;
  virtual size_t waiting_bytes() const = 0;
  // Bytes left to write until the answer is complete. Includes bytes that the worker has not sent
  // yet if the length of the answer is known.
  virtual uint64_t bytes_to_write() const = 0;
  // When the caller wants the complete answer; a later one is worth less.
  virtual Instant due_time() const = 0;
  // When the caller gives up; not before `due_time()`.
  virtual Instant deadline() const = 0;
};

// The answers that wait to be written.
struct PacerBacklog {
  size_t answers = 0;
  uint64_t bytes = 0;  // Received from workers and not written.
  // Longest time for which one of them has waited since it was queued or last written.
  Duration longest_wait{0};
};

// Token bucket for the large answers of one machine. Belongs to the thread of its event loop.
class AnswerPacer {
 public:
  // `link_bytes_per_second` is the bandwidth of the machine's link; zero: unlimited.
  AnswerPacer(event::EventLoop& loop, double link_bytes_per_second);
  AnswerPacer(const AnswerPacer&) = delete;
  AnswerPacer& operator=(const AnswerPacer&) = delete;

  // Queues `answer`, which has bytes waiting, unless it is queued already. Writes at once if the
  // link allows, and may thus destroy answers.
  void Enqueue(PacedAnswer* answer);
  // Removes `answer` from the queue; to be called before it is destroyed.
  void Remove(PacedAnswer* answer);

  // Counts a request that was admitted and whose large answer is not yet complete, for
  // ExpectedDelay().
  void OnAnswerExpected() { ++expected_answers_; }
  void OnAnswerNoLongerExpected() { --expected_answers_; }
  // Records the size in bytes of a complete large answer.
  void OnAnswerSize(uint64_t bytes);
  // Estimated time until one more large answer would be written completely, from what is left to
  // write of the waiting answers and from the expected ones.
  Duration ExpectedDelay() const;
  PacerBacklog backlog() const;

 private:
  struct Waiting {
    PacedAnswer* answer;
    Instant since;  // When it was queued or last written.
  };
  using Queue = std::deque<Waiting>;

  // Adds the tokens for the time since the last refill, up to the burst size.
  void Refill();
  // Writes while tokens are left, and sets the timer if answers still wait.
  void WriteAllowed();
  // Returns the waiting answer to be written next.
  Queue::iterator MostUrgent();
  // When the answer is to be complete, given what is left of it.
  Instant DueTimeNow(const PacedAnswer& answer, Instant now) const;
  // True if the answer would miss its due time even if it had the link to itself.
  bool IsLate(const PacedAnswer& answer, Instant now) const;

  event::EventLoop& loop_;
  double bytes_per_second_;
  double burst_bytes_;
  double allowed_bytes_;  // Tokens; negative after an overdraft.
  Instant refilled_at_;
  Queue waiting_;  // In order of Enqueue.
  event::Timer timer_;
  int64_t expected_answers_ = 0;
  std::optional<double> answer_bytes_;  // Smoothed size of a large answer.
  bool writing_ = false;  // WriteAllowed() is running; an answer may call Enqueue from it.
};

}  // namespace runshelf::sidecar
