#include <CppUTest/TestHarness.h>

#include "runshelf/coordination/message_json.h"
#include "tools/scale/encoding_run.h"
#include "tools/scale/hollow_fleet.h"
#include "tools/scale/loss_run.h"
#include "tools/scale/measurement.h"
#include "tools/scale/sweep.h"

using namespace runshelf;         // NOLINT(google-build-using-namespace)
using namespace runshelf::scale;  // NOLINT(google-build-using-namespace)

namespace {

FleetConfig SmallFleet() {
  FleetConfig config;
  config.nodes = 8;
  config.slots_per_service = 32;
  return config;
}

const LinearFit& FitOf(const SweepResult& result, const std::string& figure) {
  for (const NamedFit& fit : result.fits) {
    if (fit.figure == figure) return fit.line;
  }
  FAIL("no such figure");
  return result.fits.front().line;
}

}  // namespace

TEST_GROUP(HollowFleet){};

TEST(HollowFleet, CountsEveryMessageOnceAtEachEnd) {
  HollowFleet fleet(SmallFleet());
  CHECK(fleet.Settle(std::chrono::seconds(30)));
  fleet.StartWindow();
  MessageCount expected;
  fleet.on_sent = [&](const coordination::Envelope& envelope) {
    expected.Add(coordination::EncodeEnvelope(envelope).size());
  };
  fleet.Run(std::chrono::seconds(2));
  NodeTraffic all;
  for (const NodeTraffic& role : TrafficByRole(fleet)) all.Add(role);
  CHECK(expected.messages > 0);
  UNSIGNED_LONGS_EQUAL(expected.messages, all.TotalSent().messages);
  UNSIGNED_LONGS_EQUAL(expected.bytes, all.TotalSent().bytes);
  UNSIGNED_LONGS_EQUAL(expected.bytes + 28 * expected.messages, all.TotalSent().WireBytes());
  // Messages that were under way when the window began or ended are the only difference.
  const auto sent = static_cast<double>(all.TotalSent().messages);
  DOUBLES_EQUAL(sent, static_cast<double>(all.TotalReceived().messages), 20);
  CHECK(all.TotalCpu() > 0);
}

TEST(HollowFleet, SumsByRoleAreThoseOfTheNodes) {
  HollowFleet fleet(SmallFleet());
  CHECK(fleet.Settle(std::chrono::seconds(30)));
  fleet.StartWindow();
  fleet.Run(std::chrono::seconds(1));
  uint64_t of_nodes = 0;
  for (const HollowNode* node : fleet.Running()) of_nodes += node->traffic.TotalReceived().bytes;
  uint64_t of_roles = 0;
  for (const NodeTraffic& role : TrafficByRole(fleet)) of_roles += role.TotalReceived().bytes;
  UNSIGNED_LONGS_EQUAL(of_nodes, of_roles);
  const auto role = static_cast<size_t>(Role::kLeader);
  UNSIGNED_LONGS_EQUAL(fleet.Leader()->traffic.TotalReceived().bytes,
                       TrafficByRole(fleet).at(role).TotalReceived().bytes);
}

TEST(HollowFleet, NamesEveryKindOfMessage) {
  coordination::Envelope envelope;
  envelope.body = consensus::Message(consensus::SnapshotRequest{});
  CHECK(KindOf(envelope) == MessageKind::kSnapshotRequest);
  envelope.body = coordination::RenewalRequest{};
  CHECK(KindOf(envelope) == MessageKind::kRenewalRequest);
  envelope.body = coordination::GroupAnnouncement{};
  CHECK(KindOf(envelope) == MessageKind::kGroupAnnouncement);
  CHECK(KindName(MessageKind::kGroupAnnouncement) == "group_announcement");
}

TEST(HollowFleet, SameSeedSameTraffic) {
  const auto messages = [] {
    FleetConfig config = SmallFleet();
    config.losses_per_hour = 3600;
    config.edits_per_second = 2;
    HollowFleet fleet(config);
    fleet.Run(std::chrono::seconds(5));
    NodeTraffic all;
    for (const auto& node : fleet.nodes()) all.Add(node->traffic);
    return all.TotalSent();
  };
  const MessageCount first = messages();
  const MessageCount second = messages();
  UNSIGNED_LONGS_EQUAL(first.messages, second.messages);
  UNSIGNED_LONGS_EQUAL(first.bytes, second.bytes);
}

TEST_GROUP(ScaleRun){};

TEST(ScaleRun, SweepCompletesAndTheLeaderHearsOfEveryNode) {
  const SweepResult result = RunSweep(SmallFleet(), {"nodes", {6, 8, 10}}, std::chrono::seconds(1));
  UNSIGNED_LONGS_EQUAL(3, result.points.size());
  for (const SweepPoint& point : result.points) {
    CHECK(point.figures.settled);
    size_t nodes = 0;
    for (const RoleFigures& role : point.figures.roles) nodes += role.nodes;
    UNSIGNED_LONGS_EQUAL(static_cast<size_t>(point.size), nodes);
    for (const RoleFigures& role : point.figures.roles) CHECK(role.memory_bytes > 0);
  }
  // Between four and ten renewals a second from each node.
  const double slope = FitOf(result, "leader.messages_in").slope;
  CHECK(slope > 4);
  CHECK(slope < 10);
}

TEST(ScaleRun, RefusesAnUnknownDimension) {
  FleetConfig config;
  CHECK(!SetDimension(config, "nonsense", 1));
  for (const Sweep& sweep : DefaultSweeps()) {
    CHECK(SetDimension(config, sweep.dimension, sweep.sizes.back()));
    CHECK(sweep.sizes.size() >= 4);
  }
}

TEST(ScaleRun, ServesAgainAfterEachLoss) {
  for (const Loss loss : AllLosses()) {
    const LossFigures figures = MeasureLoss(SmallFleet(), loss);
    CHECK(figures.recovered);
    CHECK(figures.lost_nodes > 0);
    CHECK(figures.served_seconds > 0);
    CHECK(figures.served_seconds >= figures.leader_seconds);
  }
}

TEST(ScaleRun, EveryEncodingIsMeasuredForEachKind) {
  const std::vector<EncodingFigures> all = MeasureEncodings(SmallFleet());
  CHECK(!all.empty());
  UNSIGNED_LONGS_EQUAL(0, all.size() % 3);
  for (size_t i = 0; i < all.size(); i += 3) {
    STRCMP_EQUAL("json", all[i].encoding.c_str());
    CHECK(all[i].kind == all[i + 2].kind);
    CHECK(all[i + 1].mean_bytes < all[i].mean_bytes);
    CHECK(all[i + 2].mean_bytes < all[i].mean_bytes);
  }
}
