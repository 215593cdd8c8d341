// Shares the machine's link between large answers to other nodes, so that small ones never wait
// behind them.
//
// A large answer that is written as fast as the worker produces it fills the queue of a slow link,
// and every small answer then waits for the whole queue. The pacer writes large answers one after
// the other, at somewhat less than the bandwidth of the link: the one that is wanted first goes
// first, and those that can no longer be in time for their target yield to those that can.
#pragma once

#include <cstdint>
#include <deque>

#include "source/event/event_loop.h"

namespace runshelf::sidecar {

// An answer of which bytes wait to be written.
class PacedAnswer {
 public:
  virtual ~PacedAnswer() = default;
  // Writes at most `max_bytes` of what waits and returns how many were written; zero: the reader is
  // slow, and the answer asks again. May end and destroy the answer.
  virtual size_t WritePaced(size_t max_bytes) = 0;
  virtual size_t waiting_bytes() const = 0;
  // Bytes until the answer is whole, those included that have not come from the worker yet, if its
  // length is known.
  virtual uint64_t bytes_to_write() const = 0;
  // When the caller wants the whole answer; later it is worth less.
  virtual Instant due_time() const = 0;
};

class AnswerPacer {
 public:
  // `link_bytes_per_second` is the bandwidth of the machine's link; zero: no bound.
  AnswerPacer(event::EventLoop& loop, double link_bytes_per_second);
  AnswerPacer(const AnswerPacer&) = delete;
  AnswerPacer& operator=(const AnswerPacer&) = delete;

  // Bytes of `answer` wait; it is written when its turn comes, at once if the link allows.
  void Enqueue(PacedAnswer* answer);
  // `answer` is about to be destroyed.
  void Remove(PacedAnswer* answer);

  // A request whose answer is expected to be large was admitted, or its answer is on its way.
  void OnAnswerExpected() { ++expected_answers_; }
  void OnAnswerNoLongerExpected() { --expected_answers_; }
  void OnAnswerSize(uint64_t bytes);
  // Time until one more large answer could be written whole, by what waits and what is expected.
  Duration ExpectedDelay() const;

 private:
  void Refill();
  void WriteAllowed();
  // Of the answers that wait, the one to be written next.
  std::deque<PacedAnswer*>::iterator MostUrgent();
  // Even with the link to itself, the answer would be whole only after it is wanted.
  bool IsLate(const PacedAnswer& answer, Instant now) const;

  event::EventLoop& loop_;
  double bytes_per_second_;
  double burst_bytes_;
  double allowed_bytes_;  // May be written now; below zero after a burst was overdrawn.
  Instant refilled_at_;
  std::deque<PacedAnswer*> waiting_;  // In order of arrival.
  event::Timer timer_;
  int64_t expected_answers_ = 0;
  double answer_bytes_ = 0;  // Smoothed size of a large answer; zero until one was seen.
  bool writing_ = false;
};

}  // namespace runshelf::sidecar
