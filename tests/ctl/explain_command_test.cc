#include "source/ctl/explain_command.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace runshelf::ctl;  // NOLINT: the tests use most of its names.

TEST_GROUP(Explain){};

TEST(Explain, LinesOfARequestAreSortedByTimeAcrossNodes) {
  const std::vector<NodeLog> logs = {
      {"a",
       "time=3.5 level=info event=request_refused request=r1 reason=full\n"
       "time=1.0 level=info event=attempt_failed request=r1 reason=draining\n"
       "time=2.0 level=info event=request_served_late request=r2\n"},
      {"b",
       "time=2.5 level=info event=forwarded_request_failed request=r1 reason=full\n"
       "time=2.7 level=info event=request_failed request=r1.c8 reason=expired\n"
       "time=2.6 level=info event=request_failed request=r11\n"
       "time=2.8 level=info event=x former_request=r1"}};
  const auto lines = ExplainRequest("r1", logs);
  CHECK_EQUAL(4, lines.size());
  CHECK(lines[0].starts_with("a: time=1.0"));
  CHECK(lines[1].starts_with("b: time=2.5"));
  CHECK(lines[2].starts_with("b: time=2.7"));
  CHECK(lines[3].starts_with("a: time=3.5"));
}

TEST(Explain, MalformedLogLinesAreTolerated) {
  const std::vector<NodeLog> logs = {{"a", "\n\nrequest=\nrequest=r1\ntime=x request=r1 \x1b[2J"}};
  const auto lines = ExplainRequest("r1", logs);
  CHECK_EQUAL(2, lines.size());
  CHECK(lines[1].find('\x1b') == std::string::npos);
  CHECK(ExplainRequest("r1", {}).empty());
}

TEST(Explain, TheCommandReadsFilesAndReportsUnknownRequests) {
  const std::string file = std::tmpnam(nullptr);
  std::ofstream(file) << "time=1 event=request_failed request=r1\n";
  std::ostringstream out;
  std::ostringstream err;
  CHECK_EQUAL(kExitOk, RunExplainCommand({"r1", {file}}, {out, err}));
  CHECK(out.str().find("request_failed") != std::string::npos);
  CHECK_EQUAL(kExitRefused, RunExplainCommand({"r7", {file}}, {out, err}));
  CHECK_EQUAL(kExitUsage, RunExplainCommand({"r1", {file + ".none"}}, {out, err}));
  std::remove(file.c_str());
}
