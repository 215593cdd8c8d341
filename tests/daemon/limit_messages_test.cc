#include "source/daemon/limit_messages.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <chrono>

namespace runshelf::daemon {

TEST_GROUP(LimitMessages){};

TEST(LimitMessages, RoundTrip) {
  admission::ShareReport report;
  report.instance = {"n1", 7};
  report.leader_term = (uint64_t{3} << 40) + 5;
  report.sequence = 9;
  report.applied_sequence = 8;
  report.floor_fraction = 0.25;
  report.held = {{"dispatch", "desk", 12.5, std::chrono::seconds(1)}};
  report.demands = {{"dispatch", "desk", 40}};
  const std::string text = EncodeLimitMessage({"main", report});
  CHECK(IsLimitMessage(text));
  const auto decoded = DecodeLimitMessage(text);
  CHECK(decoded.ok());
  STRCMP_EQUAL("main", decoded->group.c_str());
  CHECK(std::get<admission::ShareReport>(decoded->body) == report);

  admission::ShareGrant grant;
  grant.sequence = 9;
  grant.floor_fraction = 0.2;
  grant.floor_valid_for = std::chrono::hours(1);
  grant.shares = {{"dispatch", "desk", 30, std::chrono::seconds(2)}};
  const auto decoded_grant = DecodeLimitMessage(EncodeLimitMessage({"main", grant}));
  CHECK(decoded_grant.ok());
  CHECK(std::get<admission::ShareGrant>(decoded_grant->body) == grant);
}

TEST(LimitMessages, AnyBytesAreRefusedOrDecoded) {
  const std::string valid = EncodeLimitMessage({"main", admission::ShareReport{}});
  CHECK(rc::check("truncated and changed messages", [&] {
    std::string text = valid;
    text[*rc::gen::inRange<size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    text.resize(*rc::gen::inRange<size_t>(0, text.size() + 1));
    DecodeLimitMessage(text).status().IgnoreError();
  }));
  for (const char* wrong :
       {"", "[]", "{\"limits\":3}", "{\"limits\":{\"group\":\"main\"}}",
        "{\"limits\":{\"group\":\"main\",\"report\":[]}}",
        "{\"limits\":{\"group\":\"main\",\"grant\":{\"sequence\":-1}}}",
        "{\"limits\":{\"group\":\"main\",\"grant\":{\"sequence\":1,\"floor\":0.5,"
        "\"floor_valid_us\":9223372036854775807,\"shares\":[]}}}",
        "{\"limits\":{\"group\":\"main\",\"grant\":{\"sequence\":1,\"floor\":7,"
        "\"floor_valid_us\":1,\"shares\":[]}}}"}) {
    CHECK_FALSE(DecodeLimitMessage(wrong).ok());
  }
}

}  // namespace runshelf::daemon
