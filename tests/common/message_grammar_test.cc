#include "runshelf/common/message_grammar.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace runshelf;
using Status = MessageGrammar::Status;

namespace {

// Reads the text whole and in two parts at every place; both must agree.
Status Read(MessageKind kind, const std::string& text) {
  MessageGrammar whole(kind);
  const Status status = whole.Check(text).status;
  for (size_t cut = 1; cut < text.size(); ++cut) {
    MessageGrammar parts(kind);
    const auto first = parts.Check(std::string_view(text).substr(0, cut));
    if (first.status != Status::kMore) {
      CHECK_TEXT(first.status == status, text.c_str());
      continue;
    }
    CHECK_TEXT(parts.Check(std::string_view(text).substr(cut)).status == status, text.c_str());
  }
  return status;
}

Status ReadAnswer(const std::string& text) { return Read(MessageKind::kResponse, text); }
Status ReadRequest(const std::string& text) { return Read(MessageKind::kRequest, text); }

std::string Bytes(std::string_view text) { return std::string(text); }

// A chunked body.
Status ReadBody(const std::string& text) {
  MessageGrammar grammar(MessageKind::kResponse);
  grammar.BeginChunkedBody();
  const Status status = grammar.Check(text).status;
  for (size_t cut = 1; cut < text.size(); ++cut) {
    MessageGrammar parts(MessageKind::kResponse);
    parts.BeginChunkedBody();
    const auto first = parts.Check(std::string_view(text).substr(0, cut));
    if (first.status != Status::kMore) continue;
    CHECK_TEXT(parts.Check(std::string_view(text).substr(cut)).status == status, text.c_str());
  }
  return status;
}

}  // namespace

TEST_GROUP(MessageGrammar){};

// RFC 9112, 4: the status line.
TEST(MessageGrammar, StatusLines) {
  for (const char* line : {"HTTP/1.1 200 OK", "HTTP/1.0 404 Not Found", "HTTP/1.1 599 ",
                           "HTTP/1.1 100", "HTTP/1.1 200 \xc3\xa9t\xc3\xa9\tok"}) {
    CHECK_TEXT(ReadAnswer(Bytes(line) + "\r\n\r\n") == Status::kEnd, line);
    CHECK_TEXT(ReadAnswer(Bytes(line) + "\n\n") == Status::kEnd, line);
  }
}

// Guards against answers whose status is none.
TEST(MessageGrammar, StatusLinesThatAreNone) {
  for (const char* line :
       {"HTTP/1.1 000 OK",  "HTTP/1.1 0 OK",       "HTTP/1.1 099 OK",  "HTTP/1.1 20 OK",
        "HTTP/1.1 600 OK",  "HTTP/1.1 999 OK",     "HTTP/1.1 2000 OK", "HTTP/1.1 0200 OK",
        "HTTP/1.1 2OO OK",  "HTTP/1.1 +20 OK",     "HTTP/1.1 -20 OK",  "HTTP/1.1  200 OK",
        "HTTP/1.1 200\tOK", "HTTP/1.1 200OK",      "HTTP/1.1\t200 OK", "HTTP/1.1",
        "HTTP/1.1 ",        "HTTP/1 200 OK",       "HTTP/2.0 200 OK",  "HTTP/11 200 OK",
        "HTTP/1.11 200 OK", "http/1.1 200 OK",     " HTTP/1.1 200 OK", "ICY 200 OK",
        "200 OK",           "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK"}) {
    CHECK_TEXT(ReadAnswer(Bytes(line) + "\r\n\r\n") == Status::kMalformed, line);
  }
}

// RFC 9112, 3: the request line.
TEST(MessageGrammar, RequestLines) {
  for (const char* line : {"GET / HTTP/1.1", "POST /a?b=c&d=%20 HTTP/1.0", "OPTIONS * HTTP/1.1",
                           "GET /\xc3\xa9 HTTP/1.1", "M-SEARCH http://h/ HTTP/1.1"}) {
    CHECK_TEXT(ReadRequest(Bytes(line) + "\r\n\r\n") == Status::kEnd, line);
    CHECK_TEXT(ReadRequest("\r\n\n" + Bytes(line) + "\r\n\r\n") == Status::kEnd, line);
  }
  for (const char* line : {"GET /", "GET  / HTTP/1.1", "GET / HTTP/1.1 ", "GET /  HTTP/1.1",
                           "GET /\t HTTP/1.1", "GET / HTTP/2.0", "GET / HTTP/1.", "GET / HTTP/1.10",
                           " GET / HTTP/1.1", "G@T / HTTP/1.1", "GET", "GET ", "GET HTTP/1.1",
                           "GET /a\x01 HTTP/1.1", "GET /a\x7f HTTP/1.1", "GET / http/1.1"}) {
    CHECK_TEXT(ReadRequest(Bytes(line) + "\r\n\r\n") == Status::kMalformed, line);
  }
}

// RFC 9112, 5: lines of fields.
TEST(MessageGrammar, Fields) {
  for (const char* field : {"X-A: x", "X-A:x", "X-A:", "X-A:   ", "X-A: \tx\t ",
                            "!#$%&'*+-.^_`|~09azAZ: x", "X-A: \x80\xff", "X-A: a b: c"}) {
    CHECK_TEXT(ReadAnswer("HTTP/1.1 200 OK\r\n" + Bytes(field) + "\r\n\r\n") == Status::kEnd,
               field);
    CHECK_TEXT(ReadRequest("GET / HTTP/1.1\r\n" + Bytes(field) + "\r\n\r\n") == Status::kEnd,
               field);
  }
}

// Guards against heads that two readers take for different ones: names with blanks or control
// bytes, folded lines, and values that end a line for one of them.
TEST(MessageGrammar, FieldsThatAreNone) {
  const std::vector<std::string> fields{
      "X-A : x",
      "X-A\t: x",
      "X A: x",
      " X-A: x",
      "\tX-A: x",
      "X-A",
      ": x",
      "X\x01-A: x",
      std::string("X\0-A: x", 7),
      "X\x7f-A: x",
      "X\x80-A: x",
      "X(A): x",
      "X\"A: x",
      "X/A: x",
      "X-A: x\r\n folded",
      "X-A: x\r\n\tfolded",
      "X-A: \x01",
      std::string("X-A: a\0b", 8),
      "X-A: a\x7f",
      "X-A: a\rb",
      "Content-Length : 2",
      "Transfer-Encoding : chunked",
  };
  for (const std::string& field : fields) {
    CHECK_TEXT(ReadAnswer("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n") == Status::kMalformed,
               field.c_str());
    CHECK_TEXT(ReadRequest("GET / HTTP/1.1\r\n" + field + "\r\n\r\n") == Status::kMalformed,
               field.c_str());
  }
}

// RFC 9112, 7.1: chunked bodies.
TEST(MessageGrammar, ChunkedBodies) {
  for (const char* body : {"0\r\n\r\n", "2\r\nab\r\n0\r\n\r\n", "0000A\r\n0123456789\r\n0\r\n\r\n",
                           "2;a=b;c=\"d\"\r\n\r\n\r\n0\r\n\r\n",
                           "2 ; a\r\nab\r\n00\r\nX-A: x\r\nX-B: y\r\n\r\n", "1\nx\n0\n\n"}) {
    CHECK_TEXT(ReadBody(body) == Status::kEnd, body);
  }
  for (const char* body : {"2\r\nab\r\n", "5", "2\r\na", "0\r\n", "0\r\nX-A: x\r\n"}) {
    CHECK_TEXT(ReadBody(body) == Status::kMore, body);
  }
  for (const char* body :
       {"\r\n", " 2\r\nab\r\n", "-2\r\n", "+2\r\n", "0x2\r\nab\r\n", "2x\r\nab\r\n", "2\rab\r\n",
        "2\r\nabc\r\n", "2\r\nabXY", "2\r\nab\rX", "0\r\nX-A : x\r\n\r\n", "0\r\n X-A: x\r\n\r\n",
        "11111111111111111\r\n", "2;\x01\r\nab\r\n"}) {
    CHECK_TEXT(ReadBody(body) == Status::kMalformed, body);
  }
}

TEST(MessageGrammar, TheEndIsTheFirstByteBehindTheHead) {
  MessageGrammar grammar(MessageKind::kResponse);
  const std::string head = "HTTP/1.1 100 Continue\r\n\r\n";
  const auto first = grammar.Check(head + "HTTP/1.1 200 OK\r\n\r\nbody");
  CHECK(first.status == Status::kEnd);
  CHECK_EQUAL(head.size(), first.size);
  const auto second = grammar.Check("HTTP/1.1 200 OK\r\n\r\nbody");
  CHECK(second.status == Status::kEnd);
  CHECK_EQUAL(19, second.size);
}

TEST(MessageGrammar, Tokens) {
  CHECK(IsToken("Content-Length"));
  CHECK_FALSE(IsToken(""));
  CHECK_FALSE(IsToken("Content-Length "));
  CHECK_FALSE(IsToken("a\x80"));
  CHECK(IsValidStatus(100));
  CHECK(IsValidStatus(599));
  CHECK_FALSE(IsValidStatus(99));
  CHECK_FALSE(IsValidStatus(600));
}
