#include "runshelf/table/table_mirror.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "runshelf/table/table_json.h"
#include "runshelf/table/table_source.h"
#include "tests/table/fake_key_value_store.h"

namespace runshelf::table {
namespace {

const std::string kEditId(32, 'a');

std::string CellText(int64_t weight) { return EncodeStoredCell({weight, {}}, kEditId); }

// Follows the store as a daemon does, in a random order of steps.
struct Follower {
  TableMirror mirror;
  int64_t next_revision = 0;
};

// The naive version: the whole history is replayed for each question.
std::vector<Cell> CellsAt(const FakeKeyValueStore& store, int64_t revision) {
  std::map<CellKey, Cell> cells;
  for (const FakeKeyValueStore::Transaction& transaction : store.log) {
    if (transaction.revision > revision) break;
    for (const infrastructure::Write& write : transaction.writes) {
      const CellKey key = *CellKeyOfStoreKey(write.key);
      cells.erase(key);
      if (!write.value.has_value()) continue;
      cells[key] = *DecodeStoredCell({write.key, *write.value, 0, transaction.revision, 0});
    }
  }
  std::vector<Cell> result;
  result.reserve(cells.size());
  for (const auto& [key, cell] : cells) result.push_back(cell);
  return result;
}

class FollowScenario {
 public:
  explicit FollowScenario(uint64_t seed) : random_(seed) {}

  std::string Run() {
    for (int step = 0; step < 200; ++step) {
      Follower& follower = followers_[random_.Below(followers_.size())];
      const int64_t revision_before = follower.mirror.Current()->revision();
      TakeStep(follower);
      const TableSnapshot table = follower.mirror.Current();
      if (table->revision() < revision_before) return "the revision fell";
      if (table->cells() != CellsAt(store_, table->revision())) {
        return fmt::format("step {}: the cells differ at revision {}", step, table->revision());
      }
    }
    return "";
  }

 private:
  void TakeStep(Follower& follower) {
    switch (random_.Below(8)) {
      case 0:
      case 1:
      case 2:
        WriteCells();
        break;
      case 3:
        old_range_ = *store_.Range(std::string(kTablePrefix));
        store_.compacted_revision = store_.revision - static_cast<int64_t>(random_.Below(8));
        break;
      case 4:
        // A range that was read earlier arrives late.
        follower.mirror.ReplaceByRange(old_range_);
        follower.next_revision = std::max(follower.next_revision, old_range_.revision + 1);
        break;
      case 5:
        TakeDelta(follower, followers_[random_.Below(followers_.size())]);
        break;
      default:
        WatchSome(follower);
    }
  }

  void WriteCells() {
    std::vector<infrastructure::Write> writes;
    for (const char* const caller_class : {"a", "b", "c", "d"}) {
      if (random_.Below(3) != 0) continue;
      infrastructure::Write write{StoreKey({"s", caller_class}), std::nullopt, 0};
      if (random_.Below(3) != 0) write.value = CellText(1 + static_cast<int64_t>(random_.Below(9)));
      writes.push_back(write);
    }
    if (!writes.empty()) (void)store_.Commit({}, writes);
  }

  static void TakeDelta(Follower& follower, Follower& peer) {
    const TableSnapshot table = follower.mirror.Current();
    const TableDelta delta = peer.mirror.Current()->ChangesSince(table->revision());
    const auto decoded = DecodeDelta(EncodeDelta(delta));
    CHECK(decoded.ok());
    CHECK(*decoded == delta);
    if (delta.from_revision <= table->revision()) CHECK(follower.mirror.ApplyDelta(delta).ok());
  }

  void WatchSome(Follower& follower) {
    // A watch may start anew before the place that was reached.
    int64_t start = follower.next_revision - static_cast<int64_t>(random_.Below(4));
    if (follower.next_revision == 0 || start <= store_.compacted_revision) {
      const auto range = store_.Range(std::string(kTablePrefix));
      follower.mirror.ReplaceByRange(*range);
      follower.next_revision = range->revision + 1;
      return;
    }
    uint64_t transactions = random_.Below(4);
    const auto on_events = [&](int64_t, const std::vector<infrastructure::WatchEvent>& events) {
      if (transactions == 0) return;
      --transactions;
      follower.mirror.ApplyEvents(events);
      const int64_t next = events.front().key_value.mod_revision + 1;
      follower.next_revision = std::max(follower.next_revision, next);
    };
    int rounds = 0;
    (void)store_.Watch(std::string(kTablePrefix), start, on_events, [&] { return ++rounds > 1; });
  }

  SeededRandom random_;
  FakeKeyValueStore store_;
  infrastructure::RangeResult old_range_;
  std::array<Follower, 3> followers_;
};

class ManualClock : public Clock {
 public:
  Instant Now() const override { return now; }
  Instant now;
};

TEST_GROUP(TableMirror) {
  FakeKeyValueStore store;
  TableMirror mirror;
  SeededRandom random{1};
  ManualClock clock;

  int64_t WeightOf(const char* caller_class) {
    const TableSnapshot table = mirror.Current();
    const Cell* const cell = table->Lookup("s", caller_class);
    return cell == nullptr ? 0 : cell->value.weight;
  }
};

TEST(TableMirror, RangesEventsAndDeltasInAnyOrderGiveTheTableOfTheirRevision) {
  for (uint64_t seed = 1; seed <= 150; ++seed) {
    const std::string violation = FollowScenario(seed).Run();
    if (!violation.empty()) FAIL(fmt::format("seed {}: {}", seed, violation).c_str());
  }
}

TEST(TableMirror, AMalformedCellLeavesTheKnownValueInForce) {
  store.Put("/runshelf/table/s/a", CellText(5));
  mirror.ReplaceByRange(*store.Range(std::string(kTablePrefix)));
  store.Put("/runshelf/table/s/a", R"({"weight":0,"limit":null,"edit":"x"})");
  store.Put("/runshelf/table/s/b", CellText(6));
  store.Put("/runshelf/table/bad", CellText(6));
  mirror.ReplaceByRange(*store.Range(std::string(kTablePrefix)));
  LONGS_EQUAL(5, WeightOf("a"));
  LONGS_EQUAL(6, WeightOf("b"));
  UNSIGNED_LONGS_EQUAL(2, mirror.TakeMalformed().size());
  mirror.ApplyEvents({{false, {"/runshelf/table/s/a", "{", 0, 100, 0}}});
  LONGS_EQUAL(5, WeightOf("a"));
  UNSIGNED_LONGS_EQUAL(1, mirror.TakeMalformed().size());
}

TEST(TableMirror, ASourceFollowsThroughOutagesAndCompaction) {
  int step = 0;
  bool done = false;
  bool reachable = false;
  int unreachable_calls = 0;
  store.Put("/runshelf/table/s/a", CellText(1));
  store.Put("/runshelf/table/s/b", CellText(1));
  store.watch_idle = [&] {
    clock.now += std::chrono::seconds(1);
    ++step;
    if (step == 3) store.Put("/runshelf/table/s/a", CellText(2));
    if (step == 5) {
      CHECK(reachable);
      store.Put("/runshelf/table/s/a", CellText(3));
      (void)store.Commit({}, {{"/runshelf/table/s/b", std::nullopt, 0}});
      store.fault = [&](Operation) {
        return ++unreachable_calls <= 3 ? Fault::kUnavailable : Fault::kNone;
      };
      store.compacted_revision = store.revision;
      clock.now += std::chrono::seconds(10);
    }
    if (step > 8) done = true;
  };
  int64_t last_revision = 0;
  TableSource source(store, mirror, clock, random, [](Duration) {},
                     {[&](const TableSnapshot& table) {
                        CHECK(table->revision() > last_revision);
                        last_revision = table->revision();
                      },
                      [&](bool is_reachable) { reachable = is_reachable; }});
  source.Run([&] { return done; });
  LONGS_EQUAL(3, WeightOf("a"));
  LONGS_EQUAL(0, WeightOf("b"));
  CHECK(unreachable_calls > 3);
  CHECK(reachable);
  LONGS_EQUAL(2, store.range_calls);
}

}  // namespace
}  // namespace runshelf::table
