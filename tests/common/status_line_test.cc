#include "runshelf/common/status_line.h"

#include <CppUTest/TestHarness.h>

namespace runshelf {

TEST_GROUP(StatusLine){};

TEST(StatusLine, IsFoundAnywhere) {
  CHECK(ContainsStatusLine("HTTP/1.1 200 OK"));
  CHECK(ContainsStatusLine("HTTP/1.0 503"));
  CHECK(ContainsStatusLine("valHTTP/1.1 500 No"));
  CHECK(ContainsStatusLine("HTTP/1.1 HTTP/1.HTTP/1.1 200"));
}

TEST(StatusLine, IsNotFoundInOtherText) {
  for (const char* text : {"", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 20", "HTTP/1.1 relay", "http 200",
                           "HTTP/1.1 HTTP/1.1", "HTTP/2 200 OK"}) {
    CHECK_FALSE_TEXT(ContainsStatusLine(text), text);
  }
}

}  // namespace runshelf
