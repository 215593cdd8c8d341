#include "source/event/file_watcher.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <fstream>

#include "tests/event/loop_runner.h"

using namespace runshelf;
using event::RunFor;
using event::RunUntil;

TEST_GROUP(FileWatcher) {
  event::EventLoop loop;
  std::string path = std::tmpnam(nullptr);
  int changes = 0;

  void teardown() override { std::remove(path.c_str()); }

  void Write(const std::string& text) { std::ofstream(path, std::ios::trunc) << text; }
};

TEST(FileWatcher, ChangeIsReportedOnce) {
  Write("one");
  event::FileWatcher watcher(
      loop, path, [this] { ++changes; }, std::chrono::milliseconds(5));
  RunFor(loop, std::chrono::milliseconds(30));
  CHECK_EQUAL(0, changes);
  Write("another");
  CHECK(RunUntil(loop, [this] { return changes == 1; }));
  RunFor(loop, std::chrono::milliseconds(30));
  CHECK_EQUAL(1, changes);
}

TEST(FileWatcher, CurrentVersionAndRemovalAreNotReported) {
  Write("one");
  event::FileWatcher watcher(
      loop, path, [this] { ++changes; }, std::chrono::milliseconds(5));
  Write("another");
  watcher.MarkCurrent();
  RunFor(loop, std::chrono::milliseconds(30));
  std::remove(path.c_str());
  RunFor(loop, std::chrono::milliseconds(30));
  CHECK_EQUAL(0, changes);
  Write("it is back");
  CHECK(RunUntil(loop, [this] { return changes == 1; }));
}
