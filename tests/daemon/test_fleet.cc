#include "tests/daemon/test_fleet.h"

#include <vector>

namespace runshelf::daemon {
namespace {

constexpr size_t kBodyLimit = 1000;
constexpr uint32_t kSlots = 16;
constexpr Duration kAmple = std::chrono::seconds(70);

std::shared_ptr<const table::Table> TestTable() {
  const auto cell = [](const char* service, const char* caller_class, int64_t weight,
                       std::optional<int64_t> limit) {
    return table::Cell{{service, caller_class}, {weight, limit}, 1, ""};
  };
  std::vector<table::Cell> cells = {
      cell("feedread", "desk", 10, std::nullopt), cell("feedread", "free", 1, std::nullopt),
      cell("dispatch", "desk", 10, std::nullopt), cell("dispatch", "capped", 1, 0)};
  return std::make_shared<const table::Table>(1, std::move(cells));
}

EgressParts PartsOf(TestFleet& fleet) {
  return {fleet.clock,  fleet.gate, fleet.repeats, fleet.admission,
          fleet.server, fleet.load, fleet.table,   fleet.metrics};
}

}  // namespace

std::optional<FencingToken> FakeGate::Enter(Instant, SlotNumber) {
  if (!owner) {
    return std::nullopt;
  }
  ++entered;
  return FencingToken{1, 2, 3};
}

void FakeGate::Leave(SlotNumber) { --entered; }

std::optional<Instant> FakeGate::HeldSince(Instant, SlotNumber) const { return Instant(); }

TestFleet::TestFleet(const std::string& server_address, admission::AdmissionConfig admission_config)
    : table(TestTable()),
      routes(std::make_shared<const routing::RoutingSnapshot>()),
      repeats(clock, routing::IdempotencyConfig{}),
      admission(clock, admission_config),
      server(clock, server_address),
      load(clock.Now()),
      egress("feedread", PartsOf(*this)),
      forward_pool(clock, {}),
      forwarder(clock, routing::RouterConfig{}, routes, forward_pool, metrics),
      limiter({"ingress", 7}),
      ingress(clock, {"ingress", 7}, {"feedread"}, table, limiter, forwarder, metrics,
              [] { return std::string("{}"); }),
      caller_pool(clock, {}) {
  transport::HttpServerOptions ingress_options;
  ingress_options.max_body_bytes = kBodyLimit;
  egress_server = *transport::HttpServer::Start(clock, "127.0.0.1:0", {}, egress);
  ingress_server = *transport::HttpServer::Start(clock, "127.0.0.1:0", ingress_options, ingress);
  PublishRoutes(egress_server->address());
}

TestFleet::~TestFleet() {
  ingress_server->Stop();
  egress_server->Stop();
}

transport::HttpResult TestFleet::Call(const transport::HttpRequest& request) {
  return caller_pool.Call(ingress_address(), request, transport::AnswerMatch::InOrder(),
                          clock.Now() + kAmple);
}

void TestFleet::PublishRoutes(const std::string& forward_address) {
  auto snapshot = std::make_shared<routing::RoutingSnapshot>();
  snapshot->version = ++routes_version_;
  routing::ServiceRoutes service;
  service.slot_count = kSlots;
  routing::RouteTarget& target = service.targets.emplace_back();
  target.instance.node = "egress";
  target.instance.incarnation = 9;
  target.zone = "zone";
  target.forward_address = forward_address;
  service.slot_owners.assign(kSlots, 0);
  snapshot->services["feedread"] = service;
  routes.Publish(snapshot);
}

transport::HttpRequest Request(const std::string& method, const std::string& target,
                               const std::string& body) {
  transport::HttpRequest request;
  request.method = method;
  request.target = target;
  request.body = body;
  request.headers.Set("Runshelf-Class", "desk");
  request.headers.Set("Runshelf-Key", "key");
  return request;
}

}  // namespace runshelf::daemon
