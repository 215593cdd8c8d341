// Tests the platform adapter's translation of configurations, worker calls, store calls and
// settings.

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include "platform/configuration.h"
#include "platform/settings.h"
#include "platform/store_codec.h"
#include "platform/wire_format.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;

namespace {

http::Response Answer(int status, const std::string& body) {
  http::Response response;
  response.status = status;
  response.body = body;
  return response;
}

http::Request Post(const std::string& target, const std::string& body) {
  http::Request request;
  request.head.method = "POST";
  request.head.target = target;
  request.body = body;
  return request;
}

constexpr const char* kConfiguration =
    R"({"version":"r7","routes":{"columns":["name","host","path_prefix","kind","timeout_ms",)"
    R"("target_latency_ms","priority","service","max_attempts","weighted_services",)"
    R"("allowed_regions"],"rows":[)"
    R"(["a","h.example","/a/","non_idempotent",1200,400,1,"s1",2,null,["east","west"]],)"
    R"(["b","h.example","/b/","idempotent",null,300,2,null,3,)"
    R"([{"service":"s1","weight":90},{"service":"s2","weight":10}]]]},)"
    R"("services":{"columns":["name","health_check_path","max_connections","sharded","cold_start_s",)"
    R"("cold_per_s","warmup_s"],)"
    R"("rows":[["s1","/health",110,true,2.5,13.5,3.0],["s2","/health",110]]},)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000}})";

constexpr const char* kSettings = R"(
node_name = "n1"
ip_address = "10.1.0.8"
zone = "z1"
internal_port_range = [7620,7635]
heartbeat_interval_ms = 1300
first_start = true
bounds = ["drain_timeout_ms=2500","reuse_after_s=1.5","retry_budget_ratio=0.3","cold_overage=1.5","cold_tolerance=8","closed=false","other=text"]
application_address = "10.1.0.8:8301"
service = "s1"
unknown_field = 7
[listen_addresses]
inbound = "10.1.0.8:8300"
outbound = "10.1.0.8:8304"
readiness = "10.1.0.8:8302"
[zones]
z1 = "east"
z2 = "west"
[limits]
link_mbps = 8.0
memory_mb = 160
file_descriptors = 4100
[platform]
address = "10.200.1.7:8309"
ttl_min_ms = 2000
)";

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

namespace {

// A valid heartbeat with additional fields.
std::string HeartbeatWith(const std::string& fields) {
  return R"({"service":"s1","address":"10.0.0.1:8080","zone":"z","version":"v1","slots":18,)"
         R"("state":"ready","cold_remaining_ms":0,"call_sequence":4)" +
         (fields.empty() ? std::string() : "," + fields) + "}";
}

}  // namespace

TEST_GROUP(Translation) {
  PlatformWireFormat wire;
  PlatformStoreCodec codec;
};

TEST(Translation, AConfigurationIsReadWhole) {
  const auto configuration = DecodeConfiguration(kConfiguration);
  CHECK(configuration.ok());
  CHECK_EQUAL(7, configuration->version());
  const routes::Route* route = configuration->Match("h.example", "/b/1");
  CHECK(route->kind == routes::RequestKind::kIdempotent);
  CHECK_FALSE(route->timeout.has_value());
  CHECK(*route->target_latency == std::chrono::milliseconds(300));
  CHECK_EQUAL(2, route->priority);
  CHECK_EQUAL(3, route->max_attempts);
  CHECK_EQUAL(2, route->services.size());
  CHECK_EQUAL(10, route->services[1].weight);
  CHECK(route->allowed_regions.empty());
  const auto& regions = configuration->Match("h.example", "/a/1")->allowed_regions;
  CHECK((regions == std::vector<std::string>{"east", "west"}));
  CHECK(configuration->FindService("s1")->sharded);
  CHECK_FALSE(configuration->FindService("s2")->sharded);
  CHECK(configuration->FindService("s1")->cold_start == std::chrono::milliseconds(2500));
  DOUBLES_EQUAL(13.5, configuration->FindService("s1")->cold_rate, 1e-9);
  DOUBLES_EQUAL(0, configuration->FindService("s2")->cold_rate, 1e-9);
  CHECK_EQUAL(1000, configuration->limits().max_body_bytes);
}

TEST(Translation, AWorkersLoadIsReadWithAndWithoutTheFourthNumber) {
  for (const char* text : {"3,1,18", "3,1,18,250"}) {
    const auto load = wire.DecodeWorkerLoad(text);
    CHECK(load.has_value());
    CHECK_EQUAL(3, load->running);
    CHECK_EQUAL(1, load->waiting);
    CHECK_EQUAL(18, load->slots);
    CHECK_FALSE(load->HasRoom());
  }
  CHECK(wire.DecodeWorkerLoad("3,0,18,100")->HasRoom());
  CHECK_FALSE(wire.DecodeWorkerLoad("18,0,18,100")->HasRoom());
  for (const char* text : {"", "3", "3,0", "a,0,18", "3,,18", "3,0,-1"}) {
    CHECK_FALSE_TEXT(wire.DecodeWorkerLoad(text).has_value(), text);
  }
}

TEST(Translation, ABrokenConfigurationIsRefusedWithAReason) {
  const std::pair<const char*, const char*> changes[] = {
      {"\"r7\"", "\"7\""},
      {"\"r7\"", "\"r\""},
      {"\"r7\"", "7"},
      {"\"idempotent\"", "\"sometimes\""},
      {"\"h.example\"", "null"},
      {"\"s1\",2,null", "null,2,null"},
      {"\"weight\":90", "\"w\":9"},
      {"\"rows\":[[\"s1\"", "\"row\":[[\"s1\""},
      {"[\"s2\",\"/health\"", "[null,\"/health\""},
      {"\"routes\"", "\"rutes\""},
      {"[\"east\",\"west\"]", "\"east\""},
      {"[\"east\",\"west\"]", "[\"east\",7]"},
      {"2.5,13.5", "2.5,-1"},
      {"2.5,13.5", "2.5,\"13.5\""},
      {"2.5,13.5", "\"2.5\",13.5"},
      {"}}", "}"},
  };
  for (const auto& [from, to] : changes) {
    const auto configuration = DecodeConfiguration(Replaced(kConfiguration, from, to));
    CHECK_FALSE_TEXT(configuration.ok(), from);
    CHECK_FALSE_TEXT(configuration.status().message().empty(), from);
  }
  CHECK_FALSE(DecodeConfiguration(std::string(100000, '[')).ok());
}

TEST(Translation, AHeartbeatSaysWhichKeysAreHeldAndReleased) {
  const auto notice = wire.DecodeWorkerNotice(
      Post("/runshelf/rpc?call=instances.heartbeat&of=i-1",
           HeartbeatWith(
               R"("holds":[[0,4095,7],[9000,9000,12]],"released":[[4096,8191,"h1"],[1,2,null]])")));
  CHECK(notice.ok());
  const auto& keys = std::get<sidecar::WorkerHeartbeat>(*notice).keys;
  CHECK_EQUAL(2, keys.held.size());
  CHECK_EQUAL(4095, keys.held[0].last);
  CHECK_EQUAL(12, keys.held[1].token);
  CHECK_EQUAL(2, keys.released.size());
  STRCMP_EQUAL("h1", keys.released[0].handover.c_str());
  STRCMP_EQUAL("", keys.released[1].handover.c_str());
}

TEST(Translation, BrokenRowsOfKeysAreRefusedWithAReason) {
  std::string many = "[[0,1,1]";
  for (int index = 0; index < 5000; ++index) many += ",[0,1,1]";
  const std::string broken[] = {
      R"("holds":7)",
      R"("holds":{"0":1})",
      R"("holds":[7])",
      R"("holds":[[0,1]])",
      R"("holds":[[0,1,2,3]])",
      R"("holds":[[5,4,1]])",
      R"("holds":[[0,65536,1]])",
      R"("holds":[[-1,4,1]])",
      R"("holds":[[0.5,4,1]])",
      R"("holds":[["0",4,1]])",
      R"("holds":[[0,4,"1"]])",
      R"("holds":[[0,4,-1]])",
      R"("holds":[[0,4,18446744073709551615]])",
      R"("released":[[0,4,7]])",
      R"("released":[[4,0,"h"]])",
      R"("released":[[0,4,")" + std::string(1000, 'h') + R"("]])",
      "\"holds\":" + many + "]",
  };
  for (const std::string& rows : broken) {
    const auto notice = wire.DecodeWorkerNotice(
        Post("/runshelf/rpc?call=instances.heartbeat&of=i-1", HeartbeatWith(rows)));
    CHECK_TEXT(absl::IsInvalidArgument(notice.status()), rows.substr(0, 60).c_str());
    CHECK_FALSE_TEXT(notice.status().message().empty(), rows.substr(0, 60).c_str());
  }
}

TEST(Translation, MissingAndNullRowsOfKeysCountAsNone) {
  for (const char* rows : {"", R"("holds":null,"released":null)", R"("holds":[])"}) {
    const auto notice = wire.DecodeWorkerNotice(
        Post("/runshelf/rpc?call=instances.heartbeat&of=i-1", HeartbeatWith(rows)));
    CHECK(notice.ok());
    CHECK(std::get<sidecar::WorkerHeartbeat>(*notice).keys.held.empty());
  }
}

TEST(Translation, AnAnswerWithALeaseListsItsRows) {
  STRCMP_EQUAL("{}", wire.EncodeAcknowledgement(std::nullopt).c_str());
  sidecar::KeyLease lease;
  lease.hold = std::chrono::milliseconds(4000);
  STRCMP_EQUAL(R"({"hold_ms":4000,"holds":[]})", wire.EncodeAcknowledgement(lease).c_str());
  lease.keys = {{0, 4095, 7, ""}, {9000, 9999, 12, "h1"}};
  const std::string body = wire.EncodeAcknowledgement(lease);
  STRCMP_EQUAL(R"({"hold_ms":4000,"holds":[[0,4095,7,""],[9000,9999,12,"h1"]]})", body.c_str());
  size_t bytes = 64;
  for (const auto& row : lease.keys) bytes += wire.LeaseRowBytes(row);
  CHECK(body.size() <= bytes);
}

TEST(Translation, AServiceSaysHowItsKeysAreGranted) {
  const auto with = [](const std::string& word) {
    std::string text = Replaced(kConfiguration, R"("warmup_s"],)", R"("warmup_s","grants"],)");
    text = Replaced(text, "13.5,3.0]", "13.5,3.0," + word + "]");
    return DecodeConfiguration(text);
  };
  CHECK(with("\"heartbeat\"")->FindService("s1")->grant_delivery ==
        routes::GrantDelivery::kHeartbeats);
  CHECK(with("\"invocation\"")->FindService("s1")->grant_delivery == routes::GrantDelivery::kCalls);
  CHECK_FALSE(with("null")->FindService("s1")->grant_delivery.has_value());
  CHECK_FALSE(with("\"letter\"").ok());
  CHECK_FALSE(with("7").ok());
}

TEST(Translation, AHeartbeatIsRead) {
  const auto notice = wire.DecodeWorkerNotice(
      Post("/runshelf/rpc?call=instances.heartbeat&of=i-1",
           R"({"service":"s","address":"10.0.0.1:1","zone":"z","version":"v1","slots":18,)"
           R"("state":"draining","cold_remaining_ms":250.5,"call_sequence":4})"));
  CHECK(notice.ok());
  const auto& heartbeat = std::get<sidecar::WorkerHeartbeat>(*notice);
  STRCMP_EQUAL("i-1", heartbeat.worker_id.c_str());
  CHECK_EQUAL(18, heartbeat.slots);
  CHECK(heartbeat.draining);
  CHECK(heartbeat.cold_remaining == std::chrono::microseconds(250500));
  CHECK_EQUAL(4, heartbeat.sequence);
}

TEST(Translation, TheIdOfACallNamesTheRequestThatItBelongsTo) {
  CHECK(wire.ParentRequestId("9c41d07be2a35f68.b83a43b36a91f9ff") == "9c41d07be2a35f68");
  CHECK(wire.ParentRequestId("9c41d07be2a35f68") == "");
  CHECK(wire.ParentRequestId("") == "");
  CHECK(wire.ParentRequestId(".x") == "");
}

TEST(Translation, ALeaveIsRead) {
  const auto notice =
      wire.DecodeWorkerNotice(Post("/runshelf/rpc?call=instances.deregister&of=i-1", ""));
  CHECK(notice.ok());
  STRCMP_EQUAL("i-1", std::get<sidecar::WorkerLeave>(*notice).worker_id.c_str());
}

// Each body differs from a valid heartbeat in one field only, so that this field is the reason for
// the refusal.
TEST(Translation, AHeartbeatThatIsBrokenInOneFieldIsRefusedAsAWhole) {
  const std::string target = "/runshelf/rpc?call=instances.heartbeat&of=i-1";
  const nlohmann::json whole = nlohmann::json::parse(HeartbeatWith(R"("born":1700000000000)"));
  CHECK(wire.DecodeWorkerNotice(Post(target, whole.dump())).ok());
  const auto check_refused = [&](const std::string& body) {
    const auto status = wire.DecodeWorkerNotice(Post(target, body)).status();
    CHECK_TEXT(absl::IsInvalidArgument(status), body.substr(0, 200).c_str());
    CHECK_FALSE_TEXT(status.message().empty(), body.substr(0, 200).c_str());
  };
  const nlohmann::json of_other_types[] = {
      nullptr, true, nlohmann::json::array(), nlohmann::json::object(), {{"a", {1, 2}}}};
  for (const auto& [name, value] : whole.items()) {
    nlohmann::json broken = whole;
    if (name != "born") {
      broken.erase(name);
      check_refused(broken.dump());
    }
    for (const nlohmann::json& other : of_other_types) {
      broken[name] = other;
      check_refused(broken.dump());
    }
    broken[name] = value.is_string() ? nlohmann::json(7) : nlohmann::json(value.dump());
    check_refused(broken.dump());
  }
  const std::pair<const char*, nlohmann::json> out_of_range[] = {
      {"slots", -1},
      {"slots", 3000000000},
      {"slots", 1.5},
      {"call_sequence", -1},
      {"call_sequence", 2.0},
      {"call_sequence", UINT64_MAX},
      {"cold_remaining_ms", -1},
      {"cold_remaining_ms", 1e300},
      {"born", -1},
      {"born", 1700000000000.5},
      {"born", UINT64_MAX},
      {"state", "well"},
      {"state", ""},
      {"address", "nowhere"},
      {"address", "10.0.0.1:99999"},
  };
  for (const auto& [name, value] : out_of_range) {
    nlohmann::json broken = whole;
    broken[name] = value;
    check_refused(broken.dump());
  }
  for (const std::string& body :
       {std::string(), std::string("[]"), std::string("7"), std::string("{"),
        std::string(100000, '['), std::string(5000, '\0'), std::string("\xff\xfe{}"),
        HeartbeatWith("\"extra\":\"\xc3\x28\""), HeartbeatWith(R"("extra":NaN)"),
        HeartbeatWith(R"("extra":)" + std::string(5000, '[') + std::string(5000, ']'))}) {
    check_refused(body);
  }
}

TEST(Translation, ALeaveThatIsBrokenIsRefused) {
  const std::string target = "/runshelf/rpc?call=instances.deregister&of=i-1";
  for (const char* body : {"[]", "x", R"({"born":"1700000000000"})", R"({"born":1.5})",
                           R"({"born":null})", R"({"born":-4})"}) {
    CHECK_TEXT(absl::IsInvalidArgument(wire.DecodeWorkerNotice(Post(target, body)).status()), body);
  }
}

TEST(Translation, CallsOfWorkersWithoutAnIdAreRefused) {
  CHECK_FALSE(
      wire.DecodeWorkerNotice(Post("/runshelf/rpc?call=instances.heartbeat&of=", HeartbeatWith("")))
          .ok());
  CHECK_FALSE(
      wire.DecodeWorkerNotice(
              Post("/runshelf/rpc?call=instances.deregister&of=" + std::string(1000, 'x'), ""))
          .ok());
  CHECK(absl::IsNotFound(wire.DecodeWorkerNotice(Post("/other", "")).status()));
}

TEST(Translation, TheStartTimeOfAWorkerDistinguishesItsIncarnations) {
  const auto identity = [this](const std::string& call, const std::string& id,
                               const std::string& body) {
    const auto notice =
        wire.DecodeWorkerNotice(Post("/runshelf/rpc?call=" + call + "&of=" + id, body));
    CHECK(notice.ok());
    const auto* heartbeat = std::get_if<sidecar::WorkerHeartbeat>(&*notice);
    return heartbeat != nullptr ? heartbeat->worker_id
                                : std::get<sidecar::WorkerLeave>(*notice).worker_id;
  };
  const std::string first = identity("instances.heartbeat", "i-1", HeartbeatWith(R"("born":1700)"));
  const std::string second =
      identity("instances.heartbeat", "i-1", HeartbeatWith(R"("born":1701)"));
  CHECK(first != second);
  CHECK(first == identity("instances.deregister", "i-1", R"({"born":1700})"));
  CHECK(wire.StatedIdentity(first) == "i-1");
  CHECK(wire.StatedIdentity(second) == "i-1");
  CHECK(wire.StatedIdentity("i-1") == "i-1");
  CHECK(wire.StartedBefore(first, second));
  CHECK_FALSE(wire.StartedBefore(second, first));
  CHECK_FALSE(wire.StartedBefore(first, first));
  CHECK_FALSE(wire.StartedBefore("i-1", second));
  CHECK_FALSE(wire.StartedBefore(
      identity("instances.heartbeat", "i-0", HeartbeatWith(R"("born":1)")), second));
  // An id that looks like the identity of another worker's incarnation is not taken for one.
  const std::string odd = identity("instances.heartbeat", "i-1@1700", HeartbeatWith(""));
  CHECK(odd != first);
  CHECK(wire.StatedIdentity(odd) == "i-1@1700");
}

TEST(Translation, GrantsAndReleasesAreEncoded) {
  sidecar::KeyGrant grant;
  grant.first = 1;
  grant.last = 9;
  grant.token = 12;
  grant.hold = std::chrono::milliseconds(4000);
  grant.handover = "h";
  const http::Request request = wire.EncodeGrant(grant);
  STRCMP_EQUAL("/runshelf/grant", request.head.target.c_str());
  STRCMP_EQUAL(R"({"fence":12,"from_revision":1,"handover":"h","hold_ms":4000,"target_version":9})",
               request.body.c_str());
  STRCMP_EQUAL(R"({"fence":12,"from_revision":1,"target_version":9})",
               wire.EncodeRelease({1, 9, 12}).body.c_str());
}

TEST(Translation, TheStoresItemsAreRead) {
  const auto page = codec.DecodeRange(Answer(
      200, R"({"items":[{"private_key":"k","value":"bm9kZS0x","revision":4,"made":3,"lease":7}],)"
           R"("more":true,"at":9})"));
  CHECK(page.ok());
  STRCMP_EQUAL("node-1", page->items[0].value.c_str());
  CHECK_EQUAL(4, page->items[0].revision);
  CHECK_EQUAL(7, page->items[0].lease);
  CHECK(page->more);
  CHECK_EQUAL(9, page->revision);
}

TEST(Translation, TheStoresEventsAreRead) {
  const auto page =
      codec.DecodeWatch(Answer(200, R"({"events":[{"private_key":"k","value":"","revision":4},)"
                                    R"({"private_key":"o","revision":5,"gone":true}],"at":5})"));
  CHECK(page.ok());
  CHECK_FALSE(page->events[0].removed);
  CHECK(page->events[1].removed);
  CHECK(absl::IsOutOfRange(codec.DecodeWatch(Answer(410, "")).status()));
}

TEST(Translation, TheOutcomeOfATransactionIsRead) {
  CHECK(codec.DecodeTransaction(Answer(200, R"({"revision":5})"))->outcome ==
        store::CommitOutcome::kCommitted);
  const auto conflict = codec.DecodeTransaction(
      Answer(412, R"({"items":[{"private_key":"k","value":"","revision":4}]})"));
  CHECK(conflict->outcome == store::CommitOutcome::kConflict);
  CHECK_EQUAL(4, conflict->found[0].revision);
  CHECK(codec.DecodeTransaction(Answer(404, ""))->outcome == store::CommitOutcome::kLeaseEnded);
  CHECK(absl::IsUnavailable(codec.DecodeTransaction(Answer(503, "")).status()));
  CHECK(absl::IsResourceExhausted(codec.DecodeTransaction(Answer(429, "")).status()));
}

TEST(Translation, MalformedResponsesOfTheStoreAreErrors) {
  for (const char* body : {"", "[]", "{}", R"({"items":1,"at":1,"events":1,"lease":0,"ttl_ms":5})",
                           R"({"items":[{"private_key":"k"}],"events":[{}],"at":1})",
                           R"({"items":[{"private_key":"k","value":"*","revision":1}],"at":1})"}) {
    CHECK_FALSE_TEXT(codec.DecodeRange(Answer(200, body)).ok(), body);
    CHECK_FALSE_TEXT(codec.DecodeWatch(Answer(200, body)).ok(), body);
    CHECK_FALSE_TEXT(codec.DecodeTransaction(Answer(200, body)).ok(), body);
    CHECK_FALSE_TEXT(codec.DecodeGrantLease(Answer(200, body)).ok(), body);
  }
  CHECK_FALSE(codec.DecodeTransaction(Answer(412, "{}")).ok());
  CHECK_FALSE(codec.DecodeKeepLease(Answer(404, "")).ok());
}

TEST(Translation, KeysAreEscapedInQueries) {
  STRCMP_EQUAL("/runshelf/kv-range?path_prefix=a%26b%3D/c&after=x%20y",
               codec.EncodeRange("a&b=/c", "x y").head.target.c_str());
}

TEST(Translation, SettingsAreReadAndUnknownOnesIgnored) {
  const auto settings = ParseSettings(kSettings);
  CHECK(settings.ok());
  STRCMP_EQUAL("n1", settings->node_name.c_str());
  STRCMP_EQUAL("10.1.0.8:8304", settings->outbound->ToString().c_str());
  CHECK_FALSE(settings->control_plane.has_value());
  CHECK_EQUAL(2, settings->regions.size());
  STRCMP_EQUAL("west", settings->regions.at("z2").c_str());
  CHECK_EQUAL(7620, settings->peer_port_first);
  CHECK(settings->bounds.drain_timeout == std::chrono::milliseconds(2500));
  CHECK(settings->bounds.reuse_after == std::chrono::milliseconds(1500));
  CHECK(settings->bounds.max_hold == std::chrono::seconds(10));
  DOUBLES_EQUAL(0.3, settings->bounds.retry_budget_ratio, 1e-9);
  DOUBLES_EQUAL(1.5, settings->bounds.cold_rate_factor, 1e-9);
  DOUBLES_EQUAL(8, settings->bounds.cold_burst, 1e-9);
  CHECK(settings->store_min_time_to_live == std::chrono::seconds(2));
  DOUBLES_EQUAL(1e6, settings->link_bytes_per_second, 1);
  CHECK_EQUAL(160000000, settings->memory_bytes);
  CHECK_EQUAL(4100, settings->file_descriptors);
}

TEST(Translation, BrokenSettingsAreRefusedByName) {
  const std::tuple<const char*, const char*, const char*> changes[] = {
      {"node_name = \"n1\"", "", "node_name"},
      {"zone = \"z1\"", "zone = 7", "zone"},
      {"10.1.0.8:8304", "10.1.0.8", "listen_addresses.outbound"},
      {"10.200.1.7:8309", "store:8309", "platform.address"},
      {"[7620,7635]", "[7635,7620]", "internal_port_range"},
      {"ttl_min_ms = 2000", "ttl_min_ms = -1", "platform.ttl_min_ms"},
      {"z2 = \"west\"", "z2 = 7", "zones.z2"},
      {"link_mbps = 8.0", "link_mbps = -8.0", "limits.link_mbps"},
      {"link_mbps = 8.0", "link_mbps = \"8\"", "limits.link_mbps"},
      {"memory_mb = 160", "memory_mb = -1", "limits.memory_mb"},
      {"file_descriptors = 4100", "file_descriptors = \"4100\"", "limits.file_descriptors"},
      {"memory_mb = 160", "memory_mb = 1000001", "limits.memory_mb"},
      {"\"closed=false\"", "7", "bounds"},
      {"cold_overage=1.5", "cold_overage=-1.5", "bounds.cold_overage"},
      {"cold_tolerance=8", "cold_tolerance=many", "bounds.cold_tolerance"},
      {"drain_timeout_ms=2500", "drain_timeout_ms=nan", "bounds.drain_timeout_ms"},
      {"unknown_field = 7", "unknown_field =", "line 11"},
  };
  for (const auto& [from, to, name] : changes) {
    const auto settings = ParseSettings(Replaced(kSettings, from, to));
    CHECK_FALSE_TEXT(settings.ok(), name);
    CHECK_TEXT(settings.status().message().find(name) != absl::string_view::npos, name);
  }
  CHECK(absl::IsNotFound(LoadSettings("/nowhere/at/all.toml").status()));
}
