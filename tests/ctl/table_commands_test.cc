#include "source/ctl/table_commands.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <sstream>

#include "source/ctl/files.h"
#include "tests/table/fake_key_value_store.h"

using namespace runshelf::ctl;  // NOLINT: the tests use most of its names.
using runshelf::table::Fault;
using runshelf::table::Operation;

TEST_GROUP(TableCommands) {
  runshelf::table::FakeKeyValueStore store;
  runshelf::SeededRandom random{1};
  runshelf::table::TableEditor editor{store, random, [](runshelf::Duration) {}};
  std::string out;
  std::string err;
  std::string file;

  void setup() override {
    char name[] = "/tmp/runshelf-ctl-test-XXXXXX";
    const int descriptor = mkstemp(name);
    CHECK(descriptor >= 0);
    ::close(descriptor);
    file = name;
  }

  void teardown() override { std::remove(file.c_str()); }

  int Run(const Command& command) {
    std::ostringstream out_stream;
    std::ostringstream err_stream;
    const int exit_code = RunTableCommand({command, "", StoreKind::kEtcd, "anna"}, 86400, editor,
                                          {out_stream, err_stream});
    out = out_stream.str();
    err = err_stream.str();
    return exit_code;
  }

  int Import(const std::string& text) {
    CHECK(WriteFile(file, text).ok());
    return Run(ImportCommand{file, std::nullopt});
  }
};

TEST(TableCommands, SetKeepsOmittedFields) {
  LONGS_EQUAL(kExitRefused, Run(SetCommand{{"a", "b"}, std::nullopt, 7, false}));
  STRCMP_CONTAINS("a new cell needs --weight", err.c_str());
  LONGS_EQUAL(kExitOk, Run(SetCommand{{"a", "b"}, 5, 7, false}));
  LONGS_EQUAL(kExitOk, Run(SetCommand{{"a", "b"}, 6, std::nullopt, false}));
  LONGS_EQUAL(kExitOk, Run(ExportCommand{"-"}));
  STRCMP_EQUAL("service,class,weight,limit\na,b,6,7\n", out.c_str());
  LONGS_EQUAL(kExitOk, Run(SetCommand{{"a", "b"}, std::nullopt, std::nullopt, true}));
  LONGS_EQUAL(kExitOk, Run(ShowCommand{}));
  STRCMP_CONTAINS("none", out.c_str());
}

TEST(TableCommands, ExportedFilesAreImportedUnchanged) {
  LONGS_EQUAL(kExitOk, Import("service,class,weight,limit\na,b,5,\nc,d,6,9\n"));
  LONGS_EQUAL(kExitOk, Run(ExportCommand{file}));
  LONGS_EQUAL(kExitOk, Run(ImportCommand{file, std::nullopt}));
  STRCMP_CONTAINS("unchanged", out.c_str());
}

TEST(TableCommands, AnInvalidFileIsRefusedAndNothingChanges) {
  LONGS_EQUAL(kExitRefused, Import("service,class,weight,limit\na,b,5,\na,c,-5,\n"));
  STRCMP_CONTAINS("row 3, column weight", err.c_str());
  LONGS_EQUAL(kExitRefused, Import("service,class,weight,limit\n" + std::string(2U << 20U, 'a')));
  STRCMP_CONTAINS("at most 1048576", err.c_str());
  LONGS_EQUAL(kExitRefused, Run(ImportCommand{"/nonexistent/file", std::nullopt}));
  CHECK(store.log.empty());
}

TEST(TableCommands, EachOutcomeHasItsExitCode) {
  store.fault = [](Operation) { return Fault::kUnavailable; };
  LONGS_EQUAL(kExitUnavailable, Run(ShowCommand{}));
  LONGS_EQUAL(kExitUnavailable, Run(SetCommand{{"a", "b"}, 1, std::nullopt, false}));
  LONGS_EQUAL(kExitUnavailable, Run(DeleteCommand{{"a", "b"}}));
  bool lost = false;
  store.fault = [&](Operation operation) {
    if (operation == Operation::kCommit) lost = true;
    return lost ? Fault::kAnswerLostApplied : Fault::kNone;
  };
  LONGS_EQUAL(kExitUndetermined, Run(SetCommand{{"a", "b"}, 1, std::nullopt, false}));
  STRCMP_CONTAINS("table history --edit", err.c_str());
  store.fault = [](Operation) { return Fault::kNone; };
  LONGS_EQUAL(kExitRefused, Run(DeleteCommand{{"no", "cell"}}));
  LONGS_EQUAL(kExitRefused, Run(HistoryCommand{"unknown"}));
}

TEST(TableCommands, AConflictReportsTheCellAndTheWinningAuthor) {
  Run(SetCommand{{"a", "b"}, 1, std::nullopt, false});
  int reads = 0;
  // Another editor changes the cell before the second read, after the command has read it.
  store.before_call = [&](Operation operation) {
    if (operation != Operation::kRange || ++reads != 2) return;
    runshelf::SeededRandom other_random(2);
    runshelf::table::TableEditor other(store, other_random, [](runshelf::Duration) {});
    other.SetCell({"ben", 0}, {"a", "b"}, {9, std::nullopt});
  };
  LONGS_EQUAL(kExitRefused, Run(SetCommand{{"a", "b"}, std::nullopt, 3, false}));
  STRCMP_CONTAINS("a/b: now weight 9, no limit", err.c_str());
  STRCMP_CONTAINS("by ben", err.c_str());
}

TEST(TableCommands, HistoryShowsAcceptedEdits) {
  Run(SetCommand{{"a", "b"}, 1, 2, false});
  Run(DeleteCommand{{"a", "b"}});
  LONGS_EQUAL(kExitOk, Run(HistoryCommand{}));
  STRCMP_CONTAINS("1970-01-02T00:00:00Z", out.c_str());
  STRCMP_CONTAINS("author=anna", out.c_str());
  STRCMP_CONTAINS("a/b: weight 1, limit 2", out.c_str());
  STRCMP_CONTAINS("a/b: deleted", out.c_str());
}
