// The stand-in's HTTP interface: machines, faults, and input that is broken.
#include "tools/platform_standin/platform_server.h"

#include <CppUTest/TestHarness.h>
#include <Poco/Net/StreamSocket.h>

#include <string>
#include <vector>

#include "runshelf/infrastructure/http_machine_list.h"
#include "source/infrastructure/http_call.h"
#include "tests/infrastructure/platform_test_support.h"

using runshelf::infrastructure::HttpAnswer;
using runshelf::infrastructure::MachineList;
using runshelf::infrastructure::MachineState;
using runshelf::infrastructure::MakeHttpMachineList;
using runshelf::platform_standin::kMaxRequestBytes;
using runshelf::platform_test::CheckCode;
using runshelf::platform_test::kCallTimeout;
using runshelf::platform_test::StandIn;

TEST_GROUP(PlatformServer) {
  StandIn stand_in;

  int Post(const std::string& path, const std::string& body) {
    const auto address = runshelf::infrastructure::ParseAddress(stand_in.server->address());
    const absl::StatusOr<HttpAnswer> answer =
        runshelf::infrastructure::Call(*address, {"POST", path, body}, kCallTimeout);
    return answer.ok() ? answer->status : 0;
  }

  std::unique_ptr<MachineList> Machines() {
    return *MakeHttpMachineList(stand_in.server->address(), kCallTimeout);
  }
};

TEST(PlatformServer, MachinesAreAddedChangedAndRemoved) {
  const auto list = Machines();
  CHECK_EQUAL(0U, list->Read()->version);
  CHECK_EQUAL(200, Post("/machines", R"({"machines":[
      {"node":"b","address":"127.0.0.1:2","zone":"z2","state":"live"},
      {"node":"a","address":"127.0.0.1:1","zone":"z1"}]})"));
  CHECK_EQUAL(1U, list->Read()->version);
  CHECK_EQUAL(200, Post("/machines", R"({"machines":[
      {"node":"a","address":"127.0.0.1:1","zone":"z1","state":"leaving"}],"remove":["b"]})"));
  const auto snapshot = list->Read();
  CHECK_EQUAL(2U, snapshot->version);
  CHECK_EQUAL(1U, snapshot->machines.size());
  STRCMP_EQUAL("a", snapshot->machines[0].node.c_str());
  STRCMP_EQUAL("z1", snapshot->machines[0].zone.c_str());
  CHECK_TRUE(snapshot->machines[0].state == MachineState::kLeaving);
  CHECK_EQUAL(200, Post("/machines", R"({"replace":true,"machines":[]})"));
  CHECK_EQUAL(0U, list->Read()->machines.size());
}

TEST(PlatformServer, ChangesOfTheMachineListAreShownAfterTheLag) {
  const auto list = Machines();
  CHECK_EQUAL(200, Post("/machines", R"({"lag_ms":2000,"machines":[
      {"node":"a","address":"127.0.0.1:1","zone":"z"}]})"));
  stand_in.clock.Advance(std::chrono::milliseconds(1999));
  CHECK_EQUAL(0U, list->Read()->machines.size());
  stand_in.clock.Advance(std::chrono::milliseconds(1));
  CHECK_EQUAL(1U, list->Read()->machines.size());
}

TEST(PlatformServer, FaultsAreSetAtRuntimeAndCoverTheMachineList) {
  const auto list = Machines();
  CHECK_EQUAL(200, Post("/faults", R"({"outage":true})"));
  CheckCode(absl::StatusCode::kUnavailable, list->Read().status());
  CheckCode(absl::StatusCode::kUnavailable, stand_in.store->Range("").status());
  CHECK_EQUAL(200, Post("/faults", R"({"outage_mode":"close"})"));
  CheckCode(absl::StatusCode::kUnavailable, list->Read().status());
  CheckCode(absl::StatusCode::kUnknown, stand_in.store->Range("").status());
  CHECK_EQUAL(200, Post("/faults", R"({"outage":false,"rate_limit_per_second":1})"));
  CHECK_TRUE(stand_in.store->Range("").ok());
  CheckCode(absl::StatusCode::kResourceExhausted, stand_in.store->Range("").status());
  CHECK_TRUE(list->Read().ok());
}

TEST(PlatformServer, BrokenInputGets400AndHarmsNobody) {
  const std::string deep_array = std::string(200'000, '[');
  const std::string deep_object =
      R"({"compare":)" + std::string(40, '[') + std::string(40, ']') + "}";
  const std::vector<std::string> bodies = {
      "",
      "{",
      "null",
      "[]",
      "\"x\"",
      "{}garbage",
      "{\"key\":\"\xff\"}",
      deep_array,
      deep_object,
      R"({"key":"not base64!"})",
      R"({"key":1})",
      R"({"key":{"a":1}})",
      R"({"key":"YQ==","range_end":[]})",
      R"({"key":"YQ==","limit":"1"})",
      R"({"ID":"x"})",
      R"({"ID":1.5})",
      R"({"TTL":"-1"})",
      R"({"TTL":"99999999999999999999"})",
      R"({"TTL":18446744073709551615})",
      R"({"revision":{}})",
      R"({"compare":{}})",
      R"({"compare":[1]})",
      R"({"compare":[{"key":"YQ==","target":"LEASE"}]})",
      R"({"compare":[{"key":"YQ==","target":"MOD","mod_revision":"x"}]})",
      R"({"compare":[{"key":"YQ==","result":3}]})",
      R"({"success":[{}]})",
      R"({"success":"x"})",
      R"({"success":[{"request_put":{"key":""}}]})",
      R"({"success":[{"request_put":[]}]})",
      R"({"success":[{"request_put":{"key":"YQ==","value":"*"}}]})",
      R"({"success":[{"request_txn":{}}]})",
      R"({"create_request":1})",
      R"({"create_request":{"key":"YQ==","start_revision":"-1"}})"};
  for (const std::string& body : bodies) {
    for (const char* path : {"/v3/kv/range", "/v3/kv/txn", "/v3/kv/compaction", "/v3/lease/grant",
                             "/v3/watch", "/machines", "/faults"}) {
      // A transaction may leave out every field, so a body of unknown ones is an empty one.
      const int status = Post(path, body);
      const bool empty_transaction = std::string(path) == "/v3/kv/txn" && status == 200;
      if (!empty_transaction) CHECK_EQUAL_TEXT(400, status, (path + (" " + body)).c_str());
    }
  }
  CHECK_EQUAL(1, stand_in.state().store.revision());
  CHECK_EQUAL(400, Post("/v3/kv/txn", std::string(kMaxRequestBytes + 1, ' ')));
  CHECK_EQUAL(400, Post("/machines", R"({"machines":[{"node":"a","stat":"live"}]})"));
  CHECK_EQUAL(400, Post("/faults", R"({"lose_answers_probability":1.1})"));
  CHECK_EQUAL(400, Post("/faults", R"({"delay_ms":-1})"));
  CHECK_EQUAL(404, Post("/v3/auth/enable", "{}"));
  CHECK_TRUE(stand_in.store->Range("").ok());
}

TEST(PlatformServer, DeepNestingIsRefusedWhereverItStands) {
  const auto nested = [](size_t depth) {
    return R"({"key":"YQ==","unknown":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
  };
  for (const char* path : {"/v3/kv/range", "/v3/kv/txn"}) {
    CHECK_EQUAL(200, Post(path, nested(20)));
    CHECK_EQUAL(400, Post(path, nested(40)));
    CHECK_EQUAL(400, Post(path, nested(200'000)));
  }
}

TEST(PlatformServer, CutConnectionsHarmNobody) {
  const Poco::Net::SocketAddress address(stand_in.server->address());
  for (const std::string& text :
       {std::string("POST /v3/kv/txn HTTP/1.1\r\nContent-Length: 100\r\n\r\n{\"comp"),
        std::string("POST /v3/kv/txn HTTP/1.1\r\nContent-Length: -5\r\n\r\n"),
        std::string("POST /v3/kv/txn HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
        std::string("\0\1\2\3", 4), std::string(100'000, 'A')}) {
    Poco::Net::StreamSocket socket(address);
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
    socket.shutdownSend();
  }
  CHECK_TRUE(stand_in.store->Range("").ok());
  CHECK_EQUAL(1, stand_in.state().store.revision());
}

TEST(PlatformServer, RefusesAddressesItCannotListenOn) {
  const runshelf::SystemClock clock;
  using runshelf::platform_standin::PlatformServer;
  CheckCode(absl::StatusCode::kInvalidArgument,
            PlatformServer::Start({"no address", 1}, clock).status());
  CheckCode(absl::StatusCode::kUnavailable,
            PlatformServer::Start({stand_in.server->address(), 1}, clock).status());
}
