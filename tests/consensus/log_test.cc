#include "source/consensus/log.h"

#include <CppUTest/TestHarness.h>

#include <utility>
#include <vector>

using namespace runshelf::consensus;
using runshelf::InstanceId;

namespace {

const InstanceId kFirst{"a", 1};
const InstanceId kSecond{"b", 2};

LogEntry MakeEntry(LogIndex index, Term term) {
  LogEntry entry;
  entry.index = index;
  entry.term = term;
  return entry;
}

Snapshot MakeSnapshot(LogIndex index, Term term, std::vector<InstanceId> voters) {
  Snapshot snapshot;
  snapshot.index = index;
  snapshot.term = term;
  snapshot.voters = std::move(voters);
  return snapshot;
}

// Base at 10 of term 2; 11 and 12 of term 3, of which 12 changes the voters; 13 of term 4.
Log MakeLog() {
  Log log(MakeSnapshot(10, 2, {kFirst}));
  log.Append(MakeEntry(11, 3));
  LogEntry change = MakeEntry(12, 3);
  change.kind = EntryKind::kVoters;
  change.voters = {kFirst, kSecond};
  log.Append(change);
  log.Append(MakeEntry(13, 4));
  return log;
}

}  // namespace

TEST_GROUP(Log){};

TEST(Log, TermsAreKnownFromTheBaseToTheEnd) {
  const Log log = MakeLog();
  CHECK(log.TermAt(9) == std::nullopt);
  CHECK(log.TermAt(10) == Term(2));
  CHECK(log.TermAt(13) == Term(4));
  CHECK(log.TermAt(14) == std::nullopt);
  LONGS_EQUAL(11, log.FirstIndexOfTermAt(12));
  LONGS_EQUAL(2, log.Slice(12, 5).size());
  LONGS_EQUAL(1, log.Slice(12, 1).size());
}

TEST(Log, VotersFollowTheEntriesThatAreKept) {
  Log log = MakeLog();
  LONGS_EQUAL(2, log.Voters().size());
  LONGS_EQUAL(1, log.VotersAt(11).size());
  log.TruncateAfter(11);
  LONGS_EQUAL(1, log.Voters().size());
  LONGS_EQUAL(10, log.VotersIndex());
}

TEST(Log, CompactionKeepsTheVotersAsOfItsIndex) {
  Log log = MakeLog();
  log.Compact(11, "x");
  LONGS_EQUAL(1, log.Base().voters.size());
  LONGS_EQUAL(2, log.Voters().size());
  log.Compact(13, "x");
  LONGS_EQUAL(2, log.Base().voters.size());
  LONGS_EQUAL(13, log.LastIndex());
  LONGS_EQUAL(4, log.LastTerm());
}

TEST(Log, ASnapshotKeepsOnlyEntriesThatAgreeWithIt) {
  Log agreeing = MakeLog();
  agreeing.Install(MakeSnapshot(12, 3, {kFirst, kSecond}));
  LONGS_EQUAL(13, agreeing.LastIndex());
  Log differing = MakeLog();
  differing.Install(MakeSnapshot(12, 5, {kSecond}));
  LONGS_EQUAL(12, differing.LastIndex());
  CHECK(differing.Voters() == std::vector<InstanceId>{kSecond});
}
