#include "source/ctl/quarantine_commands.h"

#include <CppUTest/TestHarness.h>

#include <sstream>

#include "source/sidecar/crash_items.h"
#include "tests/table/fake_key_value_store.h"

using namespace runshelf::ctl;  // NOLINT: the tests use most of its names.
using runshelf::sidecar::QuarantineItem;
using runshelf::sidecar::RequestFingerprint;
using runshelf::sidecar::WorkerEnd;

namespace {

const std::string kFingerprint = "0123456789abcdef0123456789abcdef";
const std::string kItemKey = "runshelf/quarantine/" + kFingerprint;

}  // namespace

TEST_GROUP(QuarantineCommands) {
  runshelf::table::FakeKeyValueStore store;
  std::ostringstream out;
  std::ostringstream err;

  void PutItem(bool released) {
    QuarantineItem item;
    item.released = released;
    item.trials = 2;
    item.worker_ids = {"w1", "w2"};
    item.description = "GET h.example/read/7";
    CHECK(store.Commit({}, {{kItemKey, item.Serialize(), 0}}).ok());
  }

  void PutEnd(const std::string& worker) {
    const WorkerEnd end{worker, "n1", {*RequestFingerprint::Parse(kFingerprint)}};
    CHECK(store.Commit({}, {{"runshelf/worker-ends/" + worker, end.Serialize(), 0}}).ok());
  }

  int Release(const std::string& fingerprint) {
    return RunQuarantineRelease({fingerprint}, store, {out, err});
  }

  QuarantineItem Stored() {
    const auto range = store.Range(kItemKey);
    return *QuarantineItem::Parse(range->key_values.at(0).value);
  }
};

TEST(QuarantineCommands, TheListShowsTrialsAndWorkers) {
  PutItem(/*released=*/false);
  LONGS_EQUAL(kExitOk, RunQuarantineList(store, {out, err}));
  STRCMP_CONTAINS((kFingerprint + " trials=2 asks=\"GET h.example/read/7\" workers=w1,w2").c_str(),
                  out.str().c_str());
  STRCMP_CONTAINS("1 in quarantine", out.str().c_str());
}

TEST(QuarantineCommands, ReleasedOrMalformedItemsAreNotListed) {
  PutItem(/*released=*/true);
  CHECK(store.Commit({}, {{"runshelf/quarantine/x", "{", 0}}).ok());
  LONGS_EQUAL(kExitOk, RunQuarantineList(store, {out, err}));
  STRCMP_EQUAL("0 in quarantine\n", out.str().c_str());
}

// The termination of worker w3 is recorded, but not yet part of the request's quarantine item. A
// release that covered only the item would let it count against the request again.
TEST(QuarantineCommands, AReleaseCoversAllKnownWorkerEnds) {
  PutItem(/*released=*/false);
  PutEnd("w3");
  LONGS_EQUAL(kExitOk, Release(kFingerprint));
  CHECK(Stored().released);
  CHECK((Stored().worker_ids == std::vector<std::string>{"w1", "w2", "w3"}));
}

TEST(QuarantineCommands, RequestsWithoutEvidenceAreNotReleased) {
  LONGS_EQUAL(kExitRefused, Release(kFingerprint));
  LONGS_EQUAL(kExitUsage, Release("7"));
}
