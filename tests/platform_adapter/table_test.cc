// Tests of the operators' table in the platform's store: edits by runshelfctl's TableEditor and
// their effect on sidecars.

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <thread>

#include "platform/store_codec.h"
#include "runshelf/table/table_editor.h"
#include "source/store/blocking_store.h"
#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;

namespace {

// A fake store with its own thread and event loop, for clients that block.
class StoreThread {
 public:
  StoreThread() : thread_([this] { Run(); }) {
    while (!started_) std::this_thread::yield();
  }
  ~StoreThread() {
    over_ = true;
    thread_.join();
  }

  event::Endpoint endpoint;

 private:
  void Run() {
    event::EventLoop loop;
    FakeStore store(loop);
    endpoint = store.endpoint();
    started_ = true;
    RunUntil(
        loop, [this] { return over_.load(); }, std::chrono::minutes(1));
  }

  std::atomic<bool> started_ = false;
  std::atomic<bool> over_ = false;
  std::thread thread_;
};

std::string CellValue(int64_t weight, const std::string& limit) {
  return "{\"weight\":" + std::to_string(weight) + ",\"limit\":" + limit +
         ",\"edit\":\"0123456789abcdef0123456789abcdef\"}";
}

}  // namespace

TEST_GROUP(PlatformTable){};

TEST(PlatformTable, CellsAreEditedSeparatelyAndConflictsAreDetected) {
  StoreThread thread;
  PlatformStoreCodec codec;
  store::BlockingStore store(codec, thread.endpoint);
  SeededRandom random(3);
  table::TableEditor editor(store, random, [](Duration) {});
  const table::CellKey key{"plain", "priority-1"};
  const auto first = editor.SetCell({"anna", 1}, key, {5, 100});
  CHECK(first.outcome == table::EditOutcome::kAccepted);
  const auto table = editor.Read();
  CHECK(table.ok());
  const table::Cell* cell = table->Lookup("plain", "priority-1");
  CHECK(cell != nullptr);
  CHECK((cell->value == table::CellValue{5, 100}));
  CHECK(editor.SetCell({"bert", 2}, {"plain", "calls"}, {7, std::nullopt}).outcome ==
        table::EditOutcome::kAccepted);
  const auto late = editor.SetCell({"bert", 3}, key, {6, std::nullopt}, cell->mod_revision - 1);
  CHECK(late.outcome == table::EditOutcome::kConflict);
  const auto history = editor.History();
  CHECK(history.ok());
  CHECK_EQUAL(2, history->size());
  CHECK(editor.DeleteCell({"anna", 4}, key).outcome == table::EditOutcome::kAccepted);
  CHECK(editor.Read()->Lookup("plain", "priority-1") == nullptr);
}

TEST(PlatformTable, AnEditTooLargeForATransactionIsRefusedEntirely) {
  StoreThread thread;
  PlatformStoreCodec codec;
  store::BlockingStore store(codec, thread.endpoint);
  SeededRandom random(3);
  table::TableEditorOptions options;
  options.max_cells_per_edit = 15;
  table::TableEditor editor(
      store, random, [](Duration) {}, options);
  std::vector<table::CellEdit> edits;
  for (int index = 0; index < 16; ++index) {
    edits.push_back({{"s" + std::to_string(index), "calls"}, table::CellValue{1, {}}, {}});
  }
  CHECK(editor.Apply({"anna", 1}, edits).outcome == table::EditOutcome::kRefused);
  CHECK(editor.Read()->cells().empty());
  edits.pop_back();
  CHECK(editor.Apply({"anna", 1}, edits).outcome == table::EditOutcome::kAccepted);
  CHECK_EQUAL(15, editor.Read()->cells().size());
}

TEST(PlatformTable, ALimitAppliesFleetWideUntilItsCellIsRemoved) {
  Fleet fleet({"plain", "plain", "other"});
  fleet.Start();
  const std::string key = "runshelf/table/plain/priority-2";
  fleet.store.Put(key, CellValue(5, "4"));
  RunFor(fleet.loop, std::chrono::milliseconds(200));
  size_t served = 0;
  size_t limited = 0;
  for (int count = 0; count < 40; ++count) {
    const auto answer = fleet.Request(2, "GET", "/read/1", "");
    if (answer->status == 200) ++served;
    if (answer->status != 429) continue;
    ++limited;
    CHECK(answer->headers.Has("Retry-After"));
  }
  CHECK_EQUAL(40, served + limited);
  CHECK(served >= 2);
  CHECK(served <= 8);
  // Other caller classes are not limited.
  CHECK_EQUAL(200, fleet.Request(2, "POST", "/send/1", "")->status);
  fleet.store.Remove(key);
  RunFor(fleet.loop, std::chrono::milliseconds(200));
  for (int count = 0; count < 10; ++count) {
    CHECK_EQUAL(200, fleet.Request(2, "GET", "/read/1", "")->status);
  }
}

TEST(PlatformTable, ACellWeightOverridesThePriorityOfTheRoute) {
  Fleet fleet({"plain", "other"});
  fleet.Start();
  std::vector<http::ExchangePtr> held;
  fleet.nodes[0].worker->set_behaviour(
      [&](const http::ExchangePtr& exchange) { held.push_back(exchange); });
  fleet.store.Put("runshelf/table/plain/priority-2", CellValue(5000, "null"));
  fleet.store.Put("runshelf/table/plain/priority-1", "no cell");
  RunFor(fleet.loop, std::chrono::milliseconds(200));
  std::vector<std::unique_ptr<Fleet::PendingRequest>> pending;
  for (int slot = 0; slot < 4; ++slot) pending.push_back(fleet.Begin(1, "GET", "/read/held", ""));
  CHECK(RunUntil(fleet.loop, [&] { return held.size() == 4; }));
  pending.push_back(fleet.Begin(1, "POST", "/send/by-route", ""));
  RunFor(fleet.loop, std::chrono::milliseconds(30));
  pending.push_back(fleet.Begin(1, "GET", "/read/by-cell", ""));
  RunFor(fleet.loop, std::chrono::milliseconds(30));
  AnswerRun(held.front(), 200);
  CHECK(RunUntil(fleet.loop, [&] { return held.size() == 5; }));
  STRCMP_EQUAL("/read/by-cell", held.back()->request().head.target.c_str());
}
