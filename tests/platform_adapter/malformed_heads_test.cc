// Answers of workers, nodes and the store whose head is not one of HTTP/1.1.
//
// Guards against such an answer that is taken for one: passed on to a client, or believed by a
// node.

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

#include "source/sidecar/node_record.h"
#include "tests/http/raw_client.h"
#include "tests/platform_adapter/fleet.h"
#include "tests/platform_adapter/scripted_server.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;
using std::chrono::milliseconds;

namespace {

// What is wrong with a head: the status line, or a line of a field.
struct Fault {
  std::string status_line = "HTTP/1.1 200 OK";
  std::string field;
};

// Answers that a reader without these checks takes for a success, or for some other answer.
std::vector<Fault> Faults() {
  std::vector<Fault> faults;
  for (const char* line : {"HTTP/1.1 000 OK", "HTTP/1.1 0 OK", "HTTP/1.1 099 OK", "HTTP/1.1 20 OK",
                           "HTTP/1.1 0200 OK", "HTTP/1.1 999 OK"}) {
    faults.push_back({line, ""});
  }
  for (const std::string& field :
       {std::string("X-A : x"), std::string("X A: x"), std::string("X\x01-A: x"),
        std::string("X\0-A: x", 7), std::string(" X-A: x"), std::string("X-A: a\x01")}) {
    faults.push_back({"HTTP/1.1 200 OK", field + "\r\n"});
  }
  return faults;
}

std::string Name(const Fault& fault) { return fault.status_line + " / " + fault.field; }

std::string Answer(const Fault& fault, const std::string& fields, const std::string& body = "") {
  return fault.status_line + "\r\n" + fields + fault.field +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The value of a header in the text of a request.
std::string HeaderOf(const std::string& request, const std::string& name) {
  const size_t begin = request.find(name + ": ");
  if (begin == std::string::npos) return "";
  const size_t value = begin + name.size() + 2;
  return request.substr(value, request.find("\r\n", value) - value);
}

std::string RunFields(const std::string& request) {
  return "Attempt-Id: " + HeaderOf(request, "Attempt-Id") + "\r\nServer-Stamp: s\r\n";
}

bool IsHealthCheck(const std::string& request) { return request.rfind("GET /health", 0) == 0; }

}  // namespace

TEST_GROUP(MalformedHeads){};

// Guards against a client that gets it as an answer, from the node beside the worker or another.
TEST(MalformedHeads, AnswersOfAWorkerAreNotPassedOn) {
  Fleet fleet({"plain", "other"});
  ScriptedServer worker(fleet.loop);
  fleet.nodes[0].settings.worker = worker.endpoint();
  Fault fault;
  worker.set_script([&](const std::string& request) {
    if (IsHealthCheck(request)) return Answer({}, "Instance-Id: w0\r\n");
    return Answer(fault, RunFields(request), "ab");
  });
  fleet.Start();
  int number = 0;
  for (size_t node = 0; node < 2; ++node) {
    const auto sound = fleet.Request(node, "POST", "/send/sound", "body");
    CHECK(sound.has_value());
    CHECK_EQUAL(200, sound->status);
    for (const Fault& next : Faults()) {
      fault = next;
      // A request of its own each time: the same one would soon be quarantined.
      const std::string target = "/send/" + std::to_string(++number);
      const auto reply = fleet.Request(node, "POST", target, "body");
      CHECK_TEXT(reply.has_value(), Name(fault).c_str());
      CHECK_EQUAL_TEXT(502, reply->status, Name(fault).c_str());
      CHECK_FALSE_TEXT(reply->headers.Has("Server-Stamp"), Name(fault).c_str());
      CHECK_EQUAL_TEXT(1, worker.Requests(target), Name(fault).c_str());
    }
    fault = {};
  }
}

// Guards against a body that is not the worker's, where a name with a blank would have framed it.
TEST(MalformedHeads, FramingFieldsWithBlanksFrameNothing) {
  Fleet fleet({"plain", "other"});
  ScriptedServer worker(fleet.loop);
  fleet.nodes[0].settings.worker = worker.endpoint();
  std::string framing;
  worker.set_script([&](const std::string& request) {
    if (IsHealthCheck(request)) return Answer({}, "Instance-Id: w0\r\n");
    return "HTTP/1.1 200 OK\r\n" + RunFields(request) + framing;
  });
  fleet.Start();
  int number = 0;
  for (const char* next :
       {"Content-Length : 2\r\n\r\nab", "Content-Length\t: 2\r\n\r\nab",
        "Transfer-Encoding : chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nabXY0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n2\rXab\r\n0\r\n\r\n",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        "Content-Length: 2\r\nContent-Length: 3\r\n\r\nab"}) {
    framing = next;
    const auto reply = fleet.Request(1, "POST", "/send/" + std::to_string(++number), "body");
    // Where the head was passed on already, the connection is closed.
    if (reply.has_value()) CHECK_EQUAL_TEXT(502, reply->status, next);
  }
}

// Guards against a worker that is believed to be well, or to be the one that was there before.
TEST(MalformedHeads, HealthAnswersAreNotBelieved) {
  for (const Fault& fault : Faults()) {
    Fleet fleet({"plain", "other"});
    ScriptedServer worker(fleet.loop);
    fleet.nodes[0].settings.worker = worker.endpoint();
    worker.set_script([&](const std::string& request) {
      if (IsHealthCheck(request)) return Answer(fault, "Instance-Id: w0\r\n");
      return Answer({}, RunFields(request), "ab");
    });
    fleet.Launch();
    // Without heartbeats, the worker is known by its health answers alone.
    fleet.nodes[0].worker->set_heartbeats_cut(true);
    fleet.nodes[1].worker->set_heartbeats_cut(true);
    CHECK_TEXT(RunUntil(fleet.loop, [&] { return worker.Requests("/health") > 1; }),
               Name(fault).c_str());
    RunFor(fleet.loop, milliseconds(200));
    const auto reply = fleet.Request(0, "POST", "/send/1", "body");
    CHECK_TEXT(reply.has_value(), Name(fault).c_str());
    CHECK_EQUAL_TEXT(503, reply->status, Name(fault).c_str());
    CHECK_EQUAL_TEXT(0, worker.Requests("/send/1"), Name(fault).c_str());
  }
}

// Guards against keys that a node takes for granted to its worker, and requests for them.
TEST(MalformedHeads, AnswersToGrantsGrantNothing) {
  for (const Fault& fault : Faults()) {
    Fleet fleet({"keyed", "other"});
    ScriptedServer worker(fleet.loop);
    fleet.nodes[0].settings.worker = worker.endpoint();
    worker.set_script([&](const std::string& request) {
      if (IsHealthCheck(request)) return Answer({}, "Instance-Id: w0\r\n");
      if (request.find("/runshelf/grant") != std::string::npos) return Answer(fault, "");
      return Answer({}, RunFields(request), "ab");
    });
    fleet.Launch();
    CHECK_TEXT(RunUntil(fleet.loop, [&] { return worker.Requests("/runshelf/grant") > 1; }),
               Name(fault).c_str());
    RunFor(fleet.loop, milliseconds(100));
    const auto reply = fleet.Keyed(0, 7);
    CHECK_TEXT(reply.has_value(), Name(fault).c_str());
    CHECK_EQUAL_TEXT(503, reply->status, Name(fault).c_str());
    CHECK_EQUAL_TEXT(0, worker.Requests("/keyed/"), Name(fault).c_str());
  }
}

// Guards against a state of the fleet that no store has told.
TEST(MalformedHeads, AnswersOfTheStoreAreNotBelieved) {
  for (const Fault& fault : Faults()) {
    Fleet fleet({"plain", "plain"});
    ScriptedServer store(fleet.loop);
    store.set_script([&](const std::string& request) {
      std::string body = R"({"items":[],"more":false,"at":5})";
      if (request.find("kv-lease") != std::string::npos) body = R"({"lease":7,"ttl_ms":8000})";
      if (request.find("kv-txn") != std::string::npos) body = R"({"revision":6})";
      return Answer(fault, "Content-Type: application/json\r\n", body);
    });
    fleet.nodes[0].settings.store = store.endpoint();
    fleet.nodes[0].settings.peer_port_first = 0;
    fleet.nodes[0].settings.peer_port_last = 0;
    fleet.Launch();
    CHECK(RunUntil(fleet.loop, [&] { return fleet.nodes[1].sidecar->ready(); }));
    RunFor(fleet.loop, milliseconds(500));
    CHECK_EQUAL_TEXT(0, store.Requests("kv-keep"), Name(fault).c_str());
    CHECK_EQUAL_TEXT(0, store.Requests("kv-watch"), Name(fault).c_str());
  }
}

// Guards against the same from another node, in the answer to a forwarded request.
TEST(MalformedHeads, AnswersOfAnotherNodeAreNotPassedOn) {
  Fleet fleet({"plain", "other"});
  ScriptedServer node(fleet.loop);
  Fault fault;
  node.set_script(
      [&](const std::string& request) { return Answer(fault, RunFields(request), "ab"); });
  fleet.store.set_value_filter([&](const std::string&, const std::string& value) {
    auto record = sidecar::NodeRecord::Parse(value);
    if (!record.has_value() || record->node != "n0") return value;
    record->inbound = node.endpoint();
    return record->Serialize();
  });
  fleet.Start();
  int number = 0;
  for (const Fault& next : Faults()) {
    fault = next;
    const auto reply = fleet.Request(1, "POST", "/send/" + std::to_string(++number), "body");
    CHECK_TEXT(reply.has_value(), Name(fault).c_str());
    CHECK_EQUAL_TEXT(502, reply->status, Name(fault).c_str());
  }
}

// Guards against requests that the node and the worker take for different ones.
TEST(MalformedHeads, RequestsOfClientsAreRefused) {
  Fleet fleet({"plain", "other"});
  fleet.Start();
  const std::vector<std::string> requests{
      "POST /send/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nContent-Length : 2\r\n\r\nab",
      "POST /send/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nX-A : x\r\n\r\n",
      "POST /send/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nX\x01-A: x\r\n\r\n",
      "POST /send/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nX-A: x\r\n y\r\n\r\n",
      "POST /send/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nabXY0\r\n\r\n",
      "POST /send/1 HTTP/0.9\r\nHost: h.example\r\nAttempt-Id: a\r\n\r\n",
  };
  for (const std::string& request : requests) {
    http::RawClient client(*fleet.nodes[0].settings.outbound);
    client.Send(request);
    std::string answer;
    bool ended = false;
    CHECK_TEXT(RunUntil(fleet.loop,
                        [&] {
                          answer += client.Receive(&ended);
                          return ended;
                        }),
               request.c_str());
    CHECK_TEXT(answer.rfind("HTTP/1.1 400 ", 0) == 0, request.c_str());
  }
  CHECK_EQUAL(0, fleet.nodes[0].worker->executed().size());
}
