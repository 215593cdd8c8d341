// Crowds of clients that do not keep to what clients may send, against real processes.
//
// Guards against a process that such clients end, hang, or take over the memory and descriptors of
// its machine, and against other callers that get no answers meanwhile.

#include "tests/overload/crowd.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <string>

#include "tests/event/loop_runner.h"
#include "tests/overload/limited_fleet.h"

using namespace runshelf;
using namespace runshelf::overload;

namespace {

// Ends a test that hangs; nothing is judged by it.
constexpr Duration kHangLimit = std::chrono::seconds(150);
constexpr size_t kClients = 32;
// More than the descriptors of a process that are for sockets.
constexpr size_t kSilentClients = 700;
// Fewer than these: what they take is memory.
constexpr size_t kClientsWithHeads = 350;
// Fewer than the connections that a process with their limits accepts.
constexpr size_t kManyClients = 1000;
// Three times the longest body.
constexpr size_t kFarOverTheLimit = size_t{24} * 1024 * 1024;

Limits LimitsForManyClients() {
  Limits limits;
  limits.memory_mb = 64;
  limits.file_descriptors = 2000;
  return limits;
}

std::string Head(const std::string& target, const std::string& framing) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: rude\r\nDeadline-Ms: 80000\r\n{}\r\n\r\n",
      target, framing);
}

// The longest legal body without its last byte.
RudeRequest StopsShort(const std::string& target = "/back/1") {
  const size_t length = Limits().max_body_bytes;
  RudeRequest request;
  request.head = Head(target, fmt::format("Content-Length: {}", length));
  request.body_bytes = length - 1;
  return request;
}

// Chunks of this size up to the longest legal body, which is not ended.
RudeRequest Chunked(size_t chunk_bytes, size_t body_bytes) {
  const std::string chunk =
      fmt::format("{:x}\r\n{}\r\n", chunk_bytes, std::string(chunk_bytes, 'x'));
  RudeRequest request;
  request.head = Head("/back/1", "Transfer-Encoding: chunked");
  request.piece.clear();
  while (request.piece.size() < size_t{32} * 1024) request.piece += chunk;
  request.body_bytes = body_bytes / chunk_bytes * chunk.size();
  return request;
}

void AwaitSent(LimitedFleet& fleet, const Crowd& crowd) {
  const bool sent = event::RunUntil(
      fleet.loop(), [&] { return crowd.sent(); }, kHangLimit);
  CHECK_TEXT(sent, "clients of the crowd are held up");
}

// Checks the processes while the crowd stays, and that the longest legal body is served after it.
void CheckFleet(LimitedFleet& fleet, std::unique_ptr<Crowd> crowd) {
  AwaitSent(fleet, *crowd);
  fleet.CheckLimits();
  fleet.CheckOrdinaryRequests();
  crowd.reset();
  fleet.AwaitCalm();
  fleet.set_holds_large_bodies(false);
  const size_t length = Limits().max_body_bytes;
  const auto answer = fleet.Request("back", length);
  CHECK_TEXT(answer.has_value(), "no answer in calm");
  CHECK_EQUAL_TEXT(200, answer->status, "in calm");
  STRCMP_EQUAL(fmt::format("w1:{}", length).c_str(), answer->body.c_str());
  fleet.CheckLimits();
}

std::unique_ptr<Crowd> MakeCrowd(LimitedFleet& fleet, const event::Endpoint& server,
                                 const RudeRequest& request, size_t clients = kClients) {
  return std::make_unique<Crowd>(fleet.loop(), server, clients, request);
}

}  // namespace

TEST_GROUP(Crowd){};

// Guards against incomplete bodies that are kept without a bound for all connections together.
TEST(Crowd, BodiesThatStopShort) {
  LimitedFleet fleet;
  CheckFleet(fleet, MakeCrowd(fleet, fleet.nodes()[0].outbound, StopsShort()));
}

// Guards against the same where the bodies arrive in small pieces, at the same time.
TEST(Crowd, BodiesThatStopShortPieceByPiece) {
  LimitedFleet fleet;
  RudeRequest request = StopsShort("/front/1");
  request.piece.resize(4096);
  CheckFleet(fleet, MakeCrowd(fleet, fleet.nodes()[0].outbound, request));
}

// Guards against complete bodies that are kept without a bound while a worker works on them.
TEST(Crowd, WholeBodiesThatAWorkerHolds) {
  LimitedFleet fleet;
  fleet.set_holds_large_bodies(true);
  RudeRequest request = StopsShort();
  ++request.body_bytes;
  CheckFleet(fleet, MakeCrowd(fleet, fleet.nodes()[0].outbound, request));
}

// Guards against bodies that are kept without a bound while a worker is slow to read them.
TEST(Crowd, WholeBodiesToASlowWorker) {
  LimitedFleet fleet;
  fleet.nodes()[1].relay->set_slow(true);
  fleet.set_holds_large_bodies(true);
  RudeRequest request = StopsShort();
  ++request.body_bytes;
  auto crowd = MakeCrowd(fleet, fleet.nodes()[0].outbound, request);
  AwaitSent(fleet, *crowd);
  fleet.nodes()[1].relay->set_slow(false);
  CheckFleet(fleet, std::move(crowd));
}

// Guards against chunked bodies, whose length nobody knows, that are kept without a bound.
TEST(Crowd, LargeChunksThatStopShort) {
  LimitedFleet fleet;
  const RudeRequest request = Chunked(size_t{64} * 1024, Limits().max_body_bytes);
  CheckFleet(fleet, MakeCrowd(fleet, fleet.nodes()[0].outbound, request));
}

// Guards against the same with chunks of a few bytes.
TEST(Crowd, SmallChunksThatStopShort) {
  LimitedFleet fleet;
  const RudeRequest request = Chunked(16, Limits().max_body_bytes);
  CheckFleet(fleet, MakeCrowd(fleet, fleet.nodes()[0].outbound, request));
}

// Guards against memory that is lost between blocks of many sizes, so that a process takes more
// than it accounts for.
TEST(Crowd, MediumBodiesThatStopShort) {
  LimitedFleet fleet(LimitsForManyClients());
  RudeRequest request;
  request.head = Head("/back/1", "Content-Length: 60000");
  request.body_bytes = 59999;
  CheckFleet(fleet, MakeCrowd(fleet, fleet.nodes()[0].outbound, request, kManyClients));
}

// Guards against the same where the bodies have no length, so that their memory grows in steps.
TEST(Crowd, MediumChunkedBodiesThatStopShort) {
  LimitedFleet fleet(LimitsForManyClients());
  const RudeRequest request = Chunked(1000, 200000);
  CheckFleet(fleet, MakeCrowd(fleet, fleet.nodes()[0].outbound, request, kManyClients));
}

// Guards against bodies over the limit that are kept until the limit is reached.
TEST(Crowd, BodiesAnnouncedFarOverTheLimit) {
  LimitedFleet fleet;
  RudeRequest request;
  request.head = Head("/back/1", "Content-Length: 1000000000000");
  request.body_bytes = kFarOverTheLimit;
  CheckFleet(fleet, MakeCrowd(fleet, fleet.nodes()[0].outbound, request));
}

// Guards against the same where no length was announced.
TEST(Crowd, ChunkedBodiesFarOverTheLimit) {
  LimitedFleet fleet;
  const RudeRequest request = Chunked(size_t{64} * 1024, kFarOverTheLimit);
  CheckFleet(fleet, MakeCrowd(fleet, fleet.nodes()[0].outbound, request));
}

// Guards against bodies that the server asks for with "100 Continue" beyond what it can keep.
TEST(Crowd, BodiesAfterContinue) {
  LimitedFleet fleet;
  RudeRequest request = StopsShort();
  request.head.insert(request.head.size() - 2, "Expect: 100-continue\r\n");
  request.awaits_continue = true;
  CheckFleet(fleet, MakeCrowd(fleet, fleet.nodes()[0].outbound, request));
}

// Guards against the same bodies at the port for other nodes.
TEST(Crowd, BodiesThatStopShortAtInbound) {
  LimitedFleet fleet;
  CheckFleet(fleet, MakeCrowd(fleet, fleet.nodes()[0].inbound, StopsShort()));
}

// Guards against the same bodies at the port for readiness checks, which need none.
TEST(Crowd, BodiesThatStopShortAtReadiness) {
  LimitedFleet fleet;
  CheckFleet(fleet, MakeCrowd(fleet, fleet.nodes()[0].readiness, StopsShort()));
}

// Guards against the same bodies at the port for heartbeats, whose bodies are small.
TEST(Crowd, BodiesThatStopShortAtControlPlane) {
  LimitedFleet fleet;
  CheckFleet(fleet, MakeCrowd(fleet, fleet.nodes()[0].control_plane, StopsShort()));
}

// Guards against connections that take every descriptor, so that none is left to reach workers.
TEST(Crowd, SilentConnections) {
  LimitedFleet fleet;
  CheckFleet(fleet, MakeCrowd(fleet, fleet.nodes()[0].outbound, RudeRequest(), kSilentClients));
}

// Guards against heads of many short fields, which take many times their length in memory.
TEST(Crowd, HeadsThatStopShort) {
  Limits limits;
  limits.memory_mb = 64;
  LimitedFleet fleet(limits);
  RudeRequest request;
  request.head = "POST /back/1 HTTP/1.1\r\nHost: h.example\r\n";
  request.piece = "a:\r\n";
  while (request.piece.size() < size_t{12} * 1024) request.piece += "a:\r\n";
  request.body_bytes = request.piece.size();
  CheckFleet(fleet, MakeCrowd(fleet, fleet.nodes()[0].outbound, request, kClientsWithHeads));
}

TEST_GROUP(SingleBody){
    // Checks that a body of the longest length is served within the memory of a small machine.
    void CheckServed(bool chunked){Limits limits;
limits.memory_mb = 160;
limits.file_descriptors = 4100;
limits.max_body_bytes = uint64_t{64} * 1024 * 1024;
LimitedFleet fleet(limits);
const auto answer = fleet.Request("back", limits.max_body_bytes, chunked);
CHECK(answer.has_value());
CHECK_EQUAL(200, answer->status);
STRCMP_EQUAL(fmt::format("w1:{}", limits.max_body_bytes).c_str(), answer->body.c_str());
fleet.CheckLimits();
}
}
;

// Guards against copies of one body that take a process over the memory of its machine.
TEST(SingleBody, WithALengthIsServedWithinTheMemory) { CheckServed(/*chunked=*/false); }

// Guards against the same where the body has no length.
TEST(SingleBody, ChunkedIsServedWithinTheMemory) { CheckServed(/*chunked=*/true); }
