#include "source/sidecar/answer_pacer.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <list>
#include <string>

#include "tests/event/loop_runner.h"

using namespace runshelf;
using namespace runshelf::sidecar;
using event::RunFor;
using event::RunUntil;

namespace {

// An answer whose reader takes everything at once, or nothing while `reader_slow` is set.
class Answer : public PacedAnswer {
 public:
  explicit Answer(size_t bytes) : waiting(bytes) {}

  size_t WritePaced(size_t max_bytes) override {
    if (reader_slow) return 0;
    const size_t count = std::min(max_bytes, waiting);
    waiting -= count;
    return count;
  }
  size_t waiting_bytes() const override { return waiting; }
  uint64_t bytes_to_write() const override { return waiting + not_received; }
  Instant due_time() const override { return due; }
  Instant deadline() const override { return give_up; }

  size_t waiting;
  size_t not_received = 0;
  Instant due = Instant::max();
  Instant give_up = Instant::max();
  bool reader_slow = false;
};

constexpr double kLinkBytesPerSecond = 1e6;

}  // namespace

TEST_GROUP(AnswerPacer) {
  event::EventLoop loop;
  AnswerPacer pacer{loop, kLinkBytesPerSecond};
};

TEST(AnswerPacer, LargeAnswersLeavePartOfTheLinkFree) {
  Answer answer(200000);
  const Instant start = loop.Now();
  pacer.Enqueue(&answer);
  RunFor(loop, std::chrono::milliseconds(100));
  const double seconds = std::chrono::duration<double>(loop.Now() - start).count();
  const auto written = static_cast<double>(200000 - answer.waiting);
  CHECK(written > 20000);
  CHECK(written <= kLinkBytesPerSecond * 0.8 * seconds + 2 * 8192);
  pacer.Remove(&answer);
}

TEST(AnswerPacer, AnswersWithEqualDueTimeAreWrittenInOrderOfArrival) {
  Answer first(40000);
  Answer second(40000);
  pacer.Enqueue(&first);
  pacer.Enqueue(&second);
  CHECK(RunUntil(loop, [&] { return first.waiting == 0; }));
  CHECK(second.waiting > 20000);
  CHECK(RunUntil(loop, [&] { return second.waiting == 0; }));
}

TEST(AnswerPacer, TheAnswerWithTheEarliestDueTimeIsWrittenFirst) {
  Answer later(40000);
  later.due = loop.Now() + std::chrono::seconds(2);
  Answer sooner(40000);
  sooner.due = loop.Now() + std::chrono::seconds(1);
  pacer.Enqueue(&later);
  pacer.Enqueue(&sooner);
  CHECK(RunUntil(loop, [&] { return sooner.waiting == 0; }));
  CHECK(later.waiting > 20000);
  CHECK(RunUntil(loop, [&] { return later.waiting == 0; }));
}

// At 0.8 MB/s, 400 kB take half a second, so the first answer misses its due time in any case.
TEST(AnswerPacer, AnAnswerThatMissesItsDueTimeYieldsToOthers) {
  Answer late(400000);
  late.due = loop.Now() + std::chrono::milliseconds(200);
  Answer in_time(40000);
  in_time.due = loop.Now() + std::chrono::seconds(1);
  pacer.Enqueue(&late);
  pacer.Enqueue(&in_time);
  CHECK(RunUntil(loop, [&] { return in_time.waiting == 0; }));
  CHECK(late.waiting > 350000);
  CHECK(RunUntil(loop, [&] { return late.waiting == 0; }));
}

// Guards against a late answer that is never completed because newer answers, each of which can
// still meet its due time, keep the link full until the late one's deadline.
TEST(AnswerPacer, ALateAnswerIsCompletedBeforeItsDeadlineWhileTheLinkIsFull) {
  constexpr size_t kLateBytes = 200000;
  constexpr Duration kTarget = std::chrono::milliseconds(200);
  constexpr Duration kDeadline = std::chrono::milliseconds(1800);
  const Instant start = loop.Now();
  Answer late(kLateBytes);
  late.due = start + kTarget;
  late.give_up = start + kDeadline;
  std::list<Answer> others;
  size_t complete_others = 0;
  const auto add_other = [&] {
    others.emplace_back(40000);
    others.back().due = loop.Now() + kTarget;
    others.back().give_up = loop.Now() + kDeadline;
    pacer.Enqueue(&others.back());
  };
  // Two answers wait at any time; a complete one is replaced by a new one.
  add_other();
  add_other();
  pacer.Enqueue(&late);
  CHECK(RunUntil(
      loop,
      [&] {
        const auto complete = std::count_if(others.begin(), others.end(),
                                            [](const Answer& other) { return other.waiting == 0; });
        for (; complete_others < static_cast<size_t>(complete); ++complete_others) add_other();
        return late.waiting == 0;
      },
      kDeadline));
  // Until it was urgent it yielded to those in time.
  CHECK(loop.Now() - start > kTarget * 2);
  CHECK(complete_others > 8);
  pacer.Remove(&late);
  for (Answer& other : others) pacer.Remove(&other);
}

TEST(AnswerPacer, ASlowReaderDoesNotDelayOtherAnswers) {
  Answer slow(40000);
  slow.reader_slow = true;
  Answer other(40000);
  pacer.Enqueue(&slow);
  pacer.Enqueue(&other);
  CHECK(RunUntil(loop, [&] { return other.waiting == 0; }));
  CHECK_EQUAL(40000, slow.waiting);
  slow.reader_slow = false;
  pacer.Enqueue(&slow);
  CHECK(RunUntil(loop, [&] { return slow.waiting == 0; }));
}

// Guards against a node that admits any number of large answers right after its start, since it has
// not seen the size of one yet.
TEST(AnswerPacer, ExpectedDelayAssumesASizeBeforeTheFirstAnswer) {
  const Duration one = pacer.ExpectedDelay();
  CHECK_EQUAL(81, ToMilliseconds(one));
  for (int count = 0; count < 9; ++count) pacer.OnAnswerExpected();
  CHECK_EQUAL(ToMilliseconds(one * 10), ToMilliseconds(pacer.ExpectedDelay()));
}

// Guards against admitting more than the link carries while answers larger than the buffers of
// their relays are under way: the rest of these waits at the worker.
TEST(AnswerPacer, ExpectedDelayCountsBytesThatTheWorkerHasNotSentYet) {
  pacer.OnAnswerSize(80000);
  Answer answer(80000);
  answer.not_received = 400000;
  pacer.Enqueue(&answer);
  CHECK(ToMilliseconds(pacer.ExpectedDelay()) > 550);
  pacer.Remove(&answer);
}

TEST(AnswerPacer, ExpectedDelayCountsWaitingBytesAndExpectedAnswers) {
  pacer.OnAnswerSize(80000);
  CHECK_EQUAL(100, ToMilliseconds(pacer.ExpectedDelay()));
  pacer.OnAnswerExpected();
  CHECK_EQUAL(200, ToMilliseconds(pacer.ExpectedDelay()));
  Answer answer(80000);
  pacer.Enqueue(&answer);
  CHECK(ToMilliseconds(pacer.ExpectedDelay()) > 280);
  pacer.Remove(&answer);
  pacer.OnAnswerNoLongerExpected();
  CHECK_EQUAL(100, ToMilliseconds(pacer.ExpectedDelay()));
}

TEST(AnswerPacer, BacklogTellsWhatWaitsAndForHowLong) {
  Answer first(400000);
  Answer second(40000);
  pacer.Enqueue(&first);
  pacer.Enqueue(&second);
  RunFor(loop, std::chrono::milliseconds(100));
  const PacerBacklog backlog = pacer.backlog();
  CHECK_EQUAL(2, backlog.answers);
  CHECK_EQUAL(first.waiting + second.waiting, backlog.bytes);
  // Only the second has not been written since.
  CHECK(backlog.longest_wait >= std::chrono::milliseconds(90));
  pacer.Remove(&second);
  CHECK(pacer.backlog().longest_wait < std::chrono::milliseconds(90));
  pacer.Remove(&first);
  CHECK_EQUAL(0, pacer.backlog().answers);
}

TEST(AnswerPacer, WithUnlimitedBandwidthEverythingIsWrittenAtOnce) {
  AnswerPacer unbounded(loop, 0);
  Answer answer(10000000);
  unbounded.Enqueue(&answer);
  CHECK_EQUAL(0, answer.waiting);
  CHECK(unbounded.ExpectedDelay() == Duration(0));
}
