#include "source/sidecar/log_writer.h"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <unistd.h>

#include <string>

#include "tests/event/loop_runner.h"

using namespace runshelf;
using namespace runshelf::sidecar;

TEST_GROUP(LogWriter) {
  event::EventLoop loop;
  int ends[2];

  void setup() override { CHECK_EQUAL(0, pipe2(ends, O_CLOEXEC)); }
  void teardown() override {
    close(ends[0]);
    close(ends[1]);
  }

  std::string Read() {
    char buffer[65536];
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    const ssize_t count = read(ends[0], buffer, sizeof buffer);
    return count > 0 ? std::string(buffer, static_cast<size_t>(count)) : std::string();
  }
};

TEST(LogWriter, WritesLinesInBatches) {
  LogWriter log(loop, ends[1], {});
  log.Write(LogLevel::kInfo, "one", {{"key", 1}});
  log.Write(LogLevel::kInfo, "two", {});
  CHECK(Read().empty());
  log.Flush();
  const std::string text = Read();
  CHECK(text.find("level=info event=one key=1\n") != std::string::npos);
  CHECK(text.find("event=two\n") != std::string::npos);
}

TEST(LogWriter, LimitsLinesPerEventAndCountsSuppressed) {
  LogWriterConfig config;
  config.lines_per_event_and_second = 3;
  LogWriter log(loop, ends[1], config);
  for (int count = 0; count < 10; ++count) log.Write(LogLevel::kInfo, "often", {});
  log.Write(LogLevel::kInfo, "rare", {});
  event::RunFor(loop, std::chrono::milliseconds(1050));
  log.Write(LogLevel::kInfo, "rare", {});
  log.Flush();
  const std::string text = Read();
  size_t lines = 0;
  for (size_t at = text.find(" event=often"); at != std::string::npos;
       at = text.find(" event=often", at + 1)) {
    ++lines;
  }
  CHECK_EQUAL(3, lines);
  CHECK(text.find("event=lines_suppressed suppressed_event=often count=7") != std::string::npos);
}

TEST(LogWriter, StalledReaderDropsLinesWithoutBlocking) {
  LogWriterConfig config;
  config.buffer_bytes = 8192;
  config.lines_per_event_and_second = 1000000;
  LogWriter log(loop, ends[1], config);
  const Instant start = loop.Now();
  for (int count = 0; count < 20000; ++count) {
    log.Write(LogLevel::kInfo, "line", {{"padding", std::string(100, 'x')}});
    if (count % 50 == 0) log.Flush();
  }
  CHECK(log.dropped() > 0);
  CHECK(loop.Now() - start < std::chrono::seconds(5));
  std::string text;
  for (std::string part = Read(); !part.empty(); part = Read()) {
    text += part;
    log.Flush();
  }
  CHECK(text.find("event=lines_dropped") != std::string::npos);
}
