#include "tests/soak/datagram_relay.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include "source/sharding/key_load.h"
#include "source/sidecar/state_feed.h"
#include "tests/event/loop_runner.h"

using namespace runshelf;
using namespace runshelf::soak;

TEST_GROUP(DatagramRelay) {
  event::EventLoop loop;
  // Below the ephemeral port range; derived from the process id to avoid collisions.
  uint16_t port = static_cast<uint16_t>(20000 + 2 * (getpid() % 5000));
  std::string cut;
  int received = 0;
  event::UdpSocket node{loop, [this](std::string_view) { ++received; }};
  event::UdpSocket sender{loop, [](std::string_view) {}};
  DatagramRelay relay{loop, "127.9.9.2", "127.9.9.1", port,
                      [this](const std::string& name) { return name != cut; }};

  void setup() override {
    CHECK_EQUAL(0, node.Bind({"127.9.9.1", port}));
    CHECK_EQUAL(0, sender.Bind({"127.9.9.3", port}));
    CHECK_EQUAL(0, relay.Listen());
  }
  void Send(const std::string& text) {
    sender.Send({"127.9.9.2", port}, text);
    event::RunFor(loop, std::chrono::milliseconds(20));
  }
};

TEST(DatagramRelay, ForwardsUnlessThePathOfTheSenderIsBlocked) {
  sidecar::StateBeacon beacon;
  beacon.node = "n1";
  Send(beacon.Serialize());
  CHECK_EQUAL(1, received);
  cut = "n1";
  Send(beacon.Serialize());
  CHECK_EQUAL(1, received);
  beacon.node = "n2";
  Send(beacon.Serialize());
  CHECK_EQUAL(2, received);
}

TEST(DatagramRelay, BothKindsOfDatagramsNameTheirSender) {
  sharding::LoadReport report;
  report.node = "n3";
  CHECK_EQUAL(std::string("n3"), SenderOf(report.Serialize()));
  sidecar::StateBeacon beacon;
  beacon.node = "n4";
  CHECK_EQUAL(std::string("n4"), SenderOf(beacon.Serialize()));
  CHECK_EQUAL(std::string(), SenderOf("no message"));
}
