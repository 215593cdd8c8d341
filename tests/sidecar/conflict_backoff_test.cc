// Simulates many nodes that change one item by compare-and-swap at the same time, in virtual time.
// A call takes 4 ms to the store and 4 ms back, and a conflict response carries the current item.
#include "source/sidecar/conflict_backoff.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <queue>
#include <vector>

using namespace runshelf;
using namespace runshelf::sidecar;

namespace {

constexpr Duration kOneWayLatency = std::chrono::milliseconds(4);

struct Contention {
  struct Event {
    Instant at;
    std::function<void()> run;
    bool operator<(const Event& other) const { return other.at < at; }
  };
  struct Writer {
    ConflictBackoff backoff;
    uint64_t known = 0;
    bool done = false;
  };

  Instant now = InstantFromMicroseconds(1000000);
  std::priority_queue<Event> events;
  SeededRandom random{11};
  uint64_t revision = 0;
  size_t tries = 0;
  std::vector<Writer> writers;

  void At(Duration wait, std::function<void()> run) { events.push({now + wait, std::move(run)}); }

  void Try(size_t index) {
    ++tries;
    const uint64_t expected = writers[index].known;
    At(kOneWayLatency, [this, index, expected] {
      const bool committed = expected == revision;
      if (committed) ++revision;
      const uint64_t found = revision;
      At(kOneWayLatency, [this, index, committed, found] { OnAnswer(index, committed, found); });
    });
  }

  void OnAnswer(size_t index, bool committed, uint64_t found) {
    Writer& writer = writers[index];
    writer.done = committed;
    writer.known = found;
    if (committed) return;
    writer.backoff.OnConflict();
    At(writer.backoff.Wait(random, /*defers_to_planner=*/false), [this, index] { Try(index); });
  }

  // Returns how long `count` writers that start within 300 ms take until all have committed.
  Duration Run(size_t count) {
    const Instant start = now;
    writers.resize(count);
    for (size_t index = 0; index < count; ++index) {
      At(random.Between(Duration(0), std::chrono::milliseconds(300)),
         [this, index] { Try(index); });
    }
    while (!events.empty()) {
      const Event event = events.top();
      events.pop();
      now = event.at;
      event.run();
    }
    return now - start;
  }
};

}  // namespace

TEST_GROUP(ConflictBackoff){};

TEST(ConflictBackoff, NinetyThreeNodesFinishWithinTimeAndTryLimits) {
  Contention contention;
  const Duration time = contention.Run(93);
  CHECK_EQUAL(93, contention.revision);
  CHECK(time < std::chrono::seconds(5));
  CHECK(contention.tries < 800);
}

TEST(ConflictBackoff, ASingleWriterNeedsOneTry) {
  Contention contention;
  contention.Run(1);
  CHECK_EQUAL(1, contention.tries);
}

TEST(ConflictBackoff, TheFirstConflictIsRetriedAtOnceAndTheSecondAfterAWait) {
  SeededRandom random{5};
  ConflictBackoff backoff;
  backoff.OnConflict();
  CHECK(backoff.Wait(random, true) <= std::chrono::milliseconds(1));
  backoff.OnConflict();
  CHECK(backoff.Wait(random, true) >= std::chrono::milliseconds(400));
  CHECK(backoff.Wait(random, false) <= std::chrono::milliseconds(45));
  backoff.ResetConflicts();
  CHECK(backoff.Wait(random, false) <= std::chrono::milliseconds(5));
}
