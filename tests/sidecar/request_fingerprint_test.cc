#include "source/sidecar/request_fingerprint.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace runshelf;
using namespace runshelf::sidecar;

namespace {

http::Request Request() {
  http::Request request;
  request.head.method = "POST";
  request.head.target = "/send/order?from=7";
  request.head.headers.Add("Host", "h.example");
  request.head.headers.Add("Cookie", "caller=1");
  request.body = "body";
  return request;
}

std::string Fingerprint(const http::Request& request) {
  return FingerprintOf(request, std::nullopt).ToString();
}

}  // namespace

TEST_GROUP(RequestFingerprint){};

TEST(RequestFingerprint, DependsOnContentAndCaller) {
  const std::string fingerprint = Fingerprint(Request());
  http::Request other = Request();
  other.head.target = "/send/order?from=8";
  CHECK(Fingerprint(other) != fingerprint);
  other = Request();
  other.head.method = "PUT";
  CHECK(Fingerprint(other) != fingerprint);
  other = Request();
  other.body = "another";
  CHECK(Fingerprint(other) != fingerprint);
  other = Request();
  other.head.headers.Set("Cookie", "caller=2");
  CHECK(Fingerprint(other) != fingerprint);
  other = Request();
  other.head.headers.Set("Host", "other.example");
  CHECK(Fingerprint(other) != fingerprint);
  CHECK(FingerprintOf(Request(), 7).ToString() != fingerprint);
}

TEST(RequestFingerprint, IgnoresHeadersThatChangeOnRetry) {
  http::Request again = Request();
  again.head.headers.Add("Attempt-Id", "2");
  again.head.headers.Add("Deadline-Ms", "900");
  again.head.headers.Add("Traceparent", "00-1-1-00");
  again.head.headers.Set("Host", "H.example");
  STRCMP_EQUAL(Fingerprint(Request()).c_str(), Fingerprint(again).c_str());
}

// Moving bytes from one field to the next must change the digest.
TEST(RequestFingerprint, SeparatesFields) {
  http::Request left = Request();
  left.head.headers.Remove("Cookie");
  left.head.headers.Add("Authorization", "ab");
  http::Request right = Request();
  right.head.headers.Set("Cookie", "ab");
  CHECK(Fingerprint(left) != Fingerprint(right));
}

// All nodes must compute the same fingerprint, whatever toolchain they are built with.
TEST(RequestFingerprint, IsTheSameOnAllNodes) {
  http::Request request;
  request.head.method = "GET";
  request.head.target = "/";
  STRCMP_EQUAL("5082b49fc9f5b5058282f46f0e22fd77", Fingerprint(request).c_str());
}

TEST(RequestFingerprint, ParsesOnlyValidFingerprints) {
  const auto fingerprint = FingerprintOf(Request(), std::nullopt);
  CHECK(RequestFingerprint::Parse(fingerprint.ToString()) == fingerprint);
  CHECK(!RequestFingerprint::Parse("").has_value());
  CHECK(!RequestFingerprint::Parse(fingerprint.ToString() + "0").has_value());
  CHECK(!RequestFingerprint::Parse(std::string(32, 'G')).has_value());
}

TEST(RequestFingerprint, DescriptionIsBounded) {
  http::Request request = Request();
  request.head.target = "/" + std::string(5000, 'x');
  CHECK_EQUAL(160U, DescribeRequest(request).size());
}
