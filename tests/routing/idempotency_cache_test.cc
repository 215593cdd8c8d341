#include "runshelf/routing/idempotency_cache.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <map>
#include <set>

#include "runshelf/common/random.h"

using runshelf::Duration;
using runshelf::Instant;
using runshelf::SeededRandom;
using runshelf::SlotNumber;
using runshelf::Verdict;
using namespace runshelf::routing;  // NOLINT(google-build-using-namespace): the part under test.

namespace {

const Instant kStart(std::chrono::seconds(1000));

IdempotencyConfig SmallConfig() {
  IdempotencyConfig config;
  config.retention = std::chrono::seconds(10);
  config.entries_max = 12;
  config.bytes_max = 400;
  config.answer_bytes_max = 60;
  return config;
}

std::shared_ptr<const RecordedAnswer> Answer(const std::string& body) {
  return std::make_shared<const RecordedAnswer>(RecordedAnswer{200, {}, body});
}

// Remembers only what it has seen and runs everything else.
class NaiveCache {
 public:
  explicit NaiveCache(const IdempotencyConfig&) {}
  BeginResult Begin(Instant, const IdempotentRequest& request) {
    if (running_.contains(request.key)) return {BeginOutcome::kAttach, nullptr, {}};
    const auto found = answers_.find(request.key);
    if (found != answers_.end()) return {BeginOutcome::kReplay, found->second, {}};
    running_.insert(request.key);
    return {};
  }
  std::vector<std::string> Complete(Instant, const std::string& key, Verdict verdict,
                                    std::shared_ptr<const RecordedAnswer> answer) {
    running_.erase(key);
    if (verdict == Verdict::kRan) answers_[key] = std::move(answer);
    return {};
  }
  SlotRecords ExportSlot(Instant, SlotNumber, Instant) const { return {}; }
  void ImportSlot(Instant, const SlotRecords&, Instant) {}

 private:
  std::set<std::string> running_;
  std::map<std::string, std::shared_ptr<const RecordedAnswer>> answers_;
};

struct Counts {
  int runs = 0;
  int repeated_runs = 0;
  int wrong_answers = 0;
  int replays = 0;
  int unknown_repeats = 0;
  int repeats_run = 0;  // Of requests that never ran before: the cache was sure.
};

// Two instances between which one slot moves, with and without a hand-over, and callers that repeat
// within the retention. The oracle remembers every run for ever.
template <typename Cache>
class World {
 public:
  explicit World(uint64_t seed) : random_(seed) {}

  Counts Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      now_ += random_.Between(Duration(0), std::chrono::milliseconds(400));
      const uint64_t choice = random_.Below(100);
      if (choice < 4) {
        Move(random_.Below(2) == 0);
      } else if (choice < 50) {
        Finish();
      } else {
        Send(choice < 75 && !requests_.empty() ? Repeat() : First());
      }
    }
    return counts_;
  }

 private:
  struct Request {
    uint32_t attempts = 0;
    bool ran = false;
    Instant latest;  // When it was last sent or finished.
    std::string answer;
  };

  std::string First() {
    const std::string key = "key-" + std::to_string(requests_.size());
    requests_[key];
    return key;
  }

  std::string Repeat() {
    auto position = requests_.begin();
    std::advance(position, random_.Below(requests_.size()));
    // A caller repeats within the retention of its first sending, with room for the run itself.
    const bool too_old = now_ - position->second.latest >= std::chrono::seconds(10);
    return too_old ? First() : position->first;
  }

  void Send(const std::string& key) {
    Request& request = requests_[key];
    if (request.attempts++ == 0) request.latest = now_;
    const BeginResult result = caches_[owner_].Begin(
        now_, {key, "r", 3, request.attempts, 1, /*repeatable=*/false, held_since_});
    if (result.outcome == BeginOutcome::kRun) {
      ++counts_.runs;
      if (request.ran || running_.contains(key)) ++counts_.repeated_runs;
      if (request.attempts > 1 && !request.ran) ++counts_.repeats_run;
      running_.insert(key);
    }
    if (result.outcome == BeginOutcome::kUnknownRepeat) ++counts_.unknown_repeats;
    if (result.outcome == BeginOutcome::kReplay) {
      ++counts_.replays;
      if (!request.ran || result.answer->body != request.answer) ++counts_.wrong_answers;
    }
  }

  void Finish() {
    if (running_.empty()) return;
    const std::string key = *running_.begin();
    running_.erase(key);
    Request& request = requests_[key];
    const uint64_t choice = random_.Below(4);
    if (choice == 0) {
      caches_[owner_].Complete(now_, key, Verdict::kNotRun, nullptr);
      return;
    }
    request.ran = true;
    request.latest = now_;
    request.answer = std::string(random_.Below(90), 'x') + key;
    const Verdict verdict = choice == 1 ? Verdict::kMayHaveRun : Verdict::kRan;
    // What came before the connection broke must not be taken for an answer.
    const std::string received = verdict == Verdict::kRan ? request.answer : "partial";
    caches_[owner_].Complete(now_, key, verdict, Answer(received));
  }

  // The owner lost the slot while requests ran; some of them had been executed.
  void LoseRunning() {
    for (const std::string& key : running_) {
      requests_[key].ran = random_.Below(2) == 0;
      requests_[key].latest = now_;
      caches_[owner_].Complete(now_, key, Verdict::kMayHaveRun, nullptr);
    }
    running_.clear();
  }

  void Move(bool hand_over) {
    if (hand_over) {
      while (!running_.empty()) Finish();
    } else {
      LoseRunning();
    }
    const SlotRecords records = caches_[owner_].ExportSlot(now_, 3, held_since_);
    owner_ = 1 - owner_;
    now_ += std::chrono::milliseconds(20);
    held_since_ = now_;
    if (hand_over) caches_[owner_].ImportSlot(now_, records, held_since_);
  }

  SeededRandom random_;
  std::array<Cache, 2> caches_{Cache(SmallConfig()), Cache(SmallConfig())};
  size_t owner_ = 0;
  Instant now_ = kStart;
  Instant held_since_ = kStart - std::chrono::seconds(100);
  std::map<std::string, Request> requests_;
  std::set<std::string> running_;
  Counts counts_;
};

template <typename Cache>
Counts RunWorlds() {
  Counts sum;
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    const Counts counts = World<Cache>(seed).Run(400);
    sum.runs += counts.runs;
    sum.repeated_runs += counts.repeated_runs;
    sum.wrong_answers += counts.wrong_answers;
    sum.replays += counts.replays;
    sum.unknown_repeats += counts.unknown_repeats;
    sum.repeats_run += counts.repeats_run;
  }
  return sum;
}

}  // namespace

TEST_GROUP(IdempotencyCache) {
  IdempotencyCache cache{SmallConfig()};
  const Instant held = kStart - std::chrono::seconds(60);

  BeginOutcome Begin(Instant now, const std::string& key, uint32_t attempt,
                     uint64_t fingerprint = 1) {
    return cache
        .Begin(now, {key, "r" + std::to_string(attempt), 3, attempt, fingerprint, false, held})
        .outcome;
  }
};

TEST(IdempotencyCache, NoKeyRunsTwiceAcrossMovesAndEvictions) {
  const Counts counts = RunWorlds<IdempotencyCache>();
  LONGS_EQUAL(0, counts.repeated_runs);
  LONGS_EQUAL(0, counts.wrong_answers);
  CHECK(counts.runs > 1000);
  CHECK(counts.replays > 1000);
  CHECK(counts.unknown_repeats > 100);
  CHECK(counts.repeats_run > 100);
}

TEST(IdempotencyCache, ANaiveMapRunsTwice) { CHECK(RunWorlds<NaiveCache>().repeated_runs > 0); }

TEST(IdempotencyCache, ARepeatAttachesThenGetsTheSameAnswer) {
  CHECK(Begin(kStart, "k", 1) == BeginOutcome::kRun);
  CHECK(Begin(kStart, "k", 2) == BeginOutcome::kAttach);
  CHECK(Begin(kStart, "k", 3) == BeginOutcome::kAttach);
  CHECK(Begin(kStart, "k", 4, /*fingerprint=*/2) == BeginOutcome::kMismatch);
  cache.Detach("k", "r2");
  const auto attached = cache.Complete(kStart, "k", Verdict::kRan, Answer("done"));
  LONGS_EQUAL(1, attached.size());
  STRCMP_EQUAL("r3", attached.front().c_str());
  CHECK(Begin(kStart, "k", 5) == BeginOutcome::kReplay);
}

TEST(IdempotencyCache, ANotRunCompletionIsForgotten) {
  CHECK(Begin(kStart, "k", 1) == BeginOutcome::kRun);
  cache.Complete(kStart, "k", Verdict::kNotRun, nullptr);
  LONGS_EQUAL(0, cache.entries());
  CHECK(Begin(kStart, "k", 2) == BeginOutcome::kRun);
}

TEST(IdempotencyCache, RunningRecordsAreNeverDropped) {
  for (int request = 0; request < 12; ++request) {
    CHECK(Begin(kStart, "k" + std::to_string(request), 1) == BeginOutcome::kRun);
  }
  CHECK(Begin(kStart, "another", 1) == BeginOutcome::kFull);
  CHECK(Begin(kStart, "k0", 2) == BeginOutcome::kAttach);
}

TEST(IdempotencyCache, AnEvictionMakesRepeatsUnknownUntilItsRetentionIsOver) {
  for (int request = 0; request < 13; ++request) {
    const std::string key = "k" + std::to_string(request);
    Begin(kStart, key, 1);
    cache.Complete(kStart, key, Verdict::kRan, Answer(""));
  }
  CHECK(Begin(kStart + std::chrono::seconds(9), "k0", 2) == BeginOutcome::kUnknownRepeat);
  CHECK(Begin(kStart + std::chrono::seconds(10), "k0", 2) == BeginOutcome::kRun);
}

TEST(IdempotencyCache, ImportedHistoryHoldsForThatHoldingOnly) {
  IdempotencyCache next{SmallConfig()};
  const SlotRecords records = cache.ExportSlot(kStart, 3, held);
  next.ImportSlot(kStart, records, kStart);
  const auto outcome = [&](Instant held_since) {
    const Instant now = kStart + std::chrono::seconds(1);
    return next.Begin(now, {"k", "r", 3, 2, 1, false, held_since}).outcome;
  };
  CHECK(outcome(kStart + Duration(1)) == BeginOutcome::kUnknownRepeat);
  CHECK(outcome(kStart) == BeginOutcome::kRun);
}
