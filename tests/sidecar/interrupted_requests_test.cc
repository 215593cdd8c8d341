#include "source/sidecar/interrupted_requests.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace runshelf;
using namespace runshelf::sidecar;
using std::chrono::milliseconds;

namespace {

const Instant kStart = Instant{} + std::chrono::seconds(100);

InterruptedRequest Make(const std::string& id, Duration sent, Duration interrupted,
                        const std::string& worker = "w1") {
  http::Request request;
  request.head.target = "/" + id;
  return {
      FingerprintOf(request, std::nullopt), "", id, worker, kStart + sent, kStart + interrupted};
}

std::string Ids(const std::vector<InterruptedRequest>& requests) {
  std::string ids;
  for (const InterruptedRequest& request : requests) ids += request.request_id + " ";
  return ids;
}

}  // namespace

TEST_GROUP(InterruptedRequests) { InterruptedRequests requests; };

TEST(InterruptedRequests, ReturnsRequestsInFlightInTerminatedWorker) {
  requests.Add(Make("other", milliseconds(0), milliseconds(90), "w2"));
  requests.Add(Make("a", milliseconds(0), milliseconds(100)));
  requests.Add(Make("b", milliseconds(50), milliseconds(101)));
  STRCMP_EQUAL("a b ", Ids(requests.TakeInFlight(kStart + milliseconds(110), "w1")).c_str());
  STRCMP_EQUAL("", Ids(requests.TakeInFlight(kStart + milliseconds(111), "w1")).c_str());
}

TEST(InterruptedRequests, OmitsRequestsSentAfterTermination) {
  requests.Add(Make("a", milliseconds(0), milliseconds(100)));
  requests.Add(Make("late", milliseconds(102), milliseconds(103)));
  STRCMP_EQUAL("a ", Ids(requests.TakeInFlight(kStart + milliseconds(130), "w1")).c_str());
  // Nor are requests sent after the termination was detected.
  requests.Add(Make("later", milliseconds(160), milliseconds(161)));
  requests.Add(Make("read late", milliseconds(20), milliseconds(170)));
  STRCMP_EQUAL("read late ", Ids(requests.TakeInFlight(kStart + milliseconds(180), "w1")).c_str());
}

// The poison request was sent just before the termination. Shortly before, a client of another
// request had disconnected and a connection had been reset.
TEST(InterruptedRequests, DisconnectsAndResetsDoNotDetermineTerminationTime) {
  InterruptedRequest left = Make("left", milliseconds(0), milliseconds(50));
  left.by_caller = true;
  requests.Add(left);
  requests.Add(Make("reset", milliseconds(0), milliseconds(60)));
  requests.Add(Make("a", milliseconds(10), milliseconds(100)));
  requests.Add(Make("poison", milliseconds(90), milliseconds(101)));
  STRCMP_EQUAL("left reset a poison ",
               Ids(requests.TakeInFlight(kStart + milliseconds(110), "w1")).c_str());
}

// A connection that the worker reset a second before its termination does not indicate when it
// terminated.
TEST(InterruptedRequests, OmitsConnectionsResetLongBeforeTermination) {
  requests.Add(Make("reset", milliseconds(0), milliseconds(10)));
  requests.Add(Make("a", milliseconds(900), milliseconds(1000)));
  STRCMP_EQUAL("a ", Ids(requests.TakeInFlight(kStart + milliseconds(1010), "w1")).c_str());
}

// The only request in flight, whose client disconnected before the termination.
TEST(InterruptedRequests, IncludesRequestOfClientThatDisconnectedJustBefore) {
  InterruptedRequest left = Make("poison", milliseconds(0), milliseconds(50));
  left.by_caller = true;
  requests.Add(left);
  STRCMP_EQUAL("poison ", Ids(requests.TakeInFlight(kStart + milliseconds(150), "w1")).c_str());
}

TEST(InterruptedRequests, OmitsExpiredRequests) {
  requests.Add(Make("a", milliseconds(0), milliseconds(100)));
  STRCMP_EQUAL("", Ids(requests.TakeInFlight(kStart + milliseconds(4200), "w1")).c_str());
}

TEST(InterruptedRequests, IsBounded) {
  for (int index = 0; index < 1000; ++index) {
    requests.Add(Make(std::to_string(index), milliseconds(0), milliseconds(100)));
  }
  CHECK_EQUAL(256U, requests.TakeInFlight(kStart + milliseconds(110), "w1").size());
}
