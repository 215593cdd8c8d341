#include "source/sidecar/peer_protocol.h"

#include <CppUTest/TestHarness.h>

#include "source/sidecar/node_record.h"

using namespace runshelf;
using namespace runshelf::sidecar;

TEST_GROUP(PeerProtocol) { Instant now = InstantFromMicroseconds(1000000); };

TEST(PeerProtocol, AnAttemptIsUnchangedByItsHeaders) {
  AttemptRequest attempt;
  attempt.request_id = "r";
  attempt.service = "s";
  attempt.worker_id = "w";
  attempt.caller_service = "c";
  attempt.caller_class = "priority-1";
  attempt.weight = 900;
  attempt.deadline = now + std::chrono::milliseconds(1500);
  attempt.answer_by = now + std::chrono::milliseconds(300);
  attempt.key = 65535;
  attempt.excused_ends = 3;
  http::Request request;
  request.head.method = "GET";
  request.head.headers.Add("Other", "1");
  peer_protocol::AddAttemptHeaders(attempt, now, &request.head.headers);
  const auto read = peer_protocol::ReadAttempt(request, now);
  CHECK(read.has_value());
  STRCMP_EQUAL("r", read->request_id.c_str());
  STRCMP_EQUAL("w", read->worker_id.c_str());
  CHECK_EQUAL(900, read->weight);
  CHECK(read->deadline == attempt.deadline);
  CHECK(read->answer_by == attempt.answer_by);
  CHECK_EQUAL(65535, *read->key);
  CHECK_EQUAL(3U, read->excused_ends);
  CHECK_EQUAL(1, read->request->head.headers.all().size());
}

TEST(PeerProtocol, ForwardingNodesAreEncodedAndInvalidNamesOmitted) {
  http::Headers headers;
  peer_protocol::MarkPassOnTo({"node-1", "node 2", "bad\r\nX: 1", "a,b", "", "node-3"}, &headers);
  const auto nodes = peer_protocol::ReadPassOnTo(headers);
  CHECK(nodes == (std::vector<std::string>{"node-1", "node-3"}));
  http::Headers none;
  peer_protocol::MarkPassOnTo({}, &none);
  CHECK(none.all().empty());
  CHECK(peer_protocol::ReadPassOnTo(none).empty());
}

TEST(PeerProtocol, AMalformedAttemptIsRefused) {
  const std::pair<const char*, const char*> changes[] = {
      {"Runshelf-Deadline-Ms", "-1"},
      {"Runshelf-Deadline-Ms", "x"},
      {"Runshelf-Answer-By-Ms", "99999999999"},
      {"Runshelf-Weight", "4294967296"},
      {"Runshelf-Key", "65536"},
      {"Runshelf-Key", ""},
      {"Runshelf-Excused-Ends", "-1"},
      {"Runshelf-Excused-Ends", "5001"},
  };
  for (const auto& [name, value] : changes) {
    AttemptRequest attempt;
    attempt.service = "s";
    attempt.deadline = now;
    attempt.answer_by = now;
    http::Request request;
    peer_protocol::AddAttemptHeaders(attempt, now, &request.head.headers);
    request.head.headers.Set(name, value);
    CHECK_FALSE_TEXT(peer_protocol::ReadAttempt(request, now).has_value(), name);
  }
  CHECK_FALSE(peer_protocol::ReadAttempt({}, now).has_value());
}

TEST(PeerProtocol, AFailureIsUnchangedByItsHeaders) {
  for (const FailureReason reason :
       {FailureReason::kFull, FailureReason::kNotOwner, FailureReason::kStopping,
        FailureReason::kIncomplete, FailureReason::kExpired}) {
    const AttemptFailure failure{Verdict::kMayHaveRun, reason, true, std::chrono::milliseconds(40)};
    const auto read = peer_protocol::ReadFailure(peer_protocol::FailureHeaders(failure));
    CHECK(read.has_value());
    CHECK(read->verdict == failure.verdict);
    CHECK(read->reason == reason);
    CHECK(read->reached_worker);
    CHECK(read->retry_after == failure.retry_after);
  }
  CHECK_FALSE(peer_protocol::ReadFailure({}).has_value());
}

TEST(PeerProtocol, AStopNoticeIsUnchangedByItsHeaders) {
  http::Headers headers;
  peer_protocol::AddStopNotice(std::nullopt, &headers);
  CHECK_EQUAL(0, headers.all().size());
  const StopNotice notice{std::chrono::milliseconds(1400), std::chrono::milliseconds(5100)};
  peer_protocol::AddStopNotice(notice, &headers);
  CHECK(peer_protocol::ReadStopNotice(headers) == notice);
  headers.Set("Runshelf-Stop-Takes-Ms", "soon");
  CHECK_FALSE(peer_protocol::ReadStopNotice(headers).has_value());
  peer_protocol::RemoveHeaders(&headers);
  CHECK_EQUAL(0, headers.all().size());
}

// Guards against nodes of earlier versions that cannot read a load, or later ones that misread it.
TEST(PeerProtocol, ALoadIsUnchangedByItsHeadersAndHasNoneForWhatIsZero) {
  routing::TargetLoad load{3, 14, 20, true};
  http::Headers headers;
  peer_protocol::AddLoad(load, &headers);
  CHECK_EQUAL(1, headers.all().size());
  CHECK(peer_protocol::ReadLoad(headers) == load);
  load.refused_percent = 45;
  http::Headers more;
  peer_protocol::AddLoad(load, &more);
  CHECK(peer_protocol::ReadLoad(more) == load);
  more.Set("Runshelf-Refused-Percent", "101");
  CHECK_EQUAL(0U, peer_protocol::ReadLoad(more)->refused_percent);
}

TEST(PeerProtocol, HeadersOfTheProtocolAreRemovedFromClientRequests) {
  http::Headers headers;
  headers.Add("runshelf-weight", "1");
  headers.Add("RUNSHELF-Anything", "1");
  headers.Add("Runs", "1");
  peer_protocol::RemoveHeaders(&headers);
  CHECK_EQUAL(1, headers.all().size());
}

TEST(PeerProtocol, ANodeRecordIsUnchangedBySerializationAndMalformedOnesAreRefused) {
  NodeRecord record;
  record.node = "n";
  record.incarnation = 7;
  record.inbound = {"10.0.0.1", 80};
  record.zone = "z";
  record.service = "s";
  record.worker_id = "w";
  record.slots = 18;
  record.worker_state = WorkerState::kDraining;
  const auto read = NodeRecord::Parse(record.Serialize());
  CHECK(read.has_value());
  CHECK(*read == record);
  CHECK_FALSE(read->accepting());
  for (const char* broken : {"", "[]", "{}", "{\"node\":\"n\"}"}) {
    CHECK_FALSE_TEXT(NodeRecord::Parse(broken).has_value(), broken);
  }
  std::string text = record.Serialize();
  text.replace(text.find("draining"), 8, "sleeping");
  CHECK_FALSE(NodeRecord::Parse(text).has_value());
}
