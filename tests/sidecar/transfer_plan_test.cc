// Distributes a change of 110 kB in a zone of 28 nodes, most of them with links of 13 Mbit/s. If
// one node sent it to all others, its link would be saturated for 1.9 s.
#include "source/sidecar/transfer_plan.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

using namespace runshelf;
using namespace runshelf::sidecar;

namespace {

constexpr uint32_t kNarrow = 13;
constexpr uint32_t kWide = 200;
constexpr size_t kLargeChange = 110000;
constexpr Duration kBudget = std::chrono::milliseconds(250);

std::vector<FeedReceiver> Zone(size_t narrow, size_t wide) {
  std::vector<FeedReceiver> receivers;
  for (size_t index = 0; index < wide + narrow; ++index) {
    FeedReceiver receiver;
    receiver.node = fmt::format("n{}", index);
    receiver.link_megabits = index < wide ? kWide : kNarrow;
    receivers.push_back(std::move(receiver));
  }
  return receivers;
}

// Simulates the distribution of a change in a zone: each node forwards once it has received it.
struct ForwardingSimulation {
  std::map<std::string, uint32_t> links;
  std::multiset<std::string> reached;
  Duration longest{0};     // Until the last node has received it.
  size_t most_copies = 0;  // Sent by one node with a narrow link.

  void From(uint32_t link, const std::vector<FeedReceiver>& receivers, Duration since) {
    if (receivers.empty()) return;
    const size_t copies = CopiesWithin(kBudget, link, kLargeChange, 0);
    const auto first = AssignForwarding(receivers, copies);
    if (link == kNarrow) most_copies = std::max(most_copies, first.size());
    const Duration sent = since + TimeOnLink(kLargeChange * first.size(), link);
    for (const FeedReceiver& receiver : first) {
      reached.insert(receiver.node);
      const Duration arrived = sent + TimeOnLink(kLargeChange, receiver.link_megabits);
      longest = std::max(longest, arrived);
      std::vector<FeedReceiver> rest;
      for (const std::string& node : receiver.forward_to) {
        FeedReceiver next;
        next.node = node;
        next.link_megabits = links.at(node);
        rest.push_back(next);
      }
      From(receiver.link_megabits, rest, arrived);
    }
  }

  explicit ForwardingSimulation(const std::vector<FeedReceiver>& zone, uint32_t origin_link) {
    for (const FeedReceiver& receiver : zone) links[receiver.node] = receiver.link_megabits;
    From(origin_link, zone, Duration(0));
  }
};

}  // namespace

TEST_GROUP(TransferPlan){};

// Guards against a change that never arrives because all copies share one link and time out.
TEST(TransferPlan, ALargeChangeReachesAZoneOfNarrowLinksInSteps) {
  const ForwardingSimulation spread(Zone(28, 0), kNarrow);
  CHECK_EQUAL(28, spread.reached.size());
  for (int index = 0; index < 28; ++index)
    CHECK_EQUAL(1, spread.reached.count(fmt::format("n{}", index)));
  CHECK(spread.most_copies <= 3);
  CHECK(spread.longest <= std::chrono::milliseconds(900));
}

TEST(TransferPlan, WideLinksDoMostOfTheWork) {
  const auto first = AssignForwarding(Zone(26, 1), CopiesWithin(kBudget, kNarrow, kLargeChange, 0));
  CHECK_EQUAL(3, first.size());
  CHECK(first[0].forward_to.size() >= 20);
  const ForwardingSimulation spread(Zone(26, 1), kNarrow);
  CHECK_EQUAL(27, spread.reached.size());
  CHECK(spread.longest <= std::chrono::milliseconds(700));
}

TEST(TransferPlan, ASmallChangeGoesToAllAtOnce) {
  const auto first = AssignForwarding(Zone(28, 0), CopiesWithin(kBudget, kNarrow, 500, 0));
  CHECK_EQUAL(28, first.size());
  CHECK(std::all_of(first.begin(), first.end(),
                    [](const FeedReceiver& receiver) { return receiver.forward_to.empty(); }));
}

// Guards against many small changes that together saturate the link.
TEST(TransferPlan, BytesInFlightReduceTheNumberOfCopies) {
  CHECK_EQUAL(2, CopiesWithin(kBudget, kNarrow, 500, 1000000));
  CHECK(CopiesWithin(kBudget, kNarrow, 500, 200000) < CopiesWithin(kBudget, kNarrow, 500, 0));
}

TEST(TransferPlan, ALinkOfUnknownBandwidthIsTakenAsUnbounded) {
  CHECK_EQUAL(28, AssignForwarding(Zone(28, 0), CopiesWithin(kBudget, 0, kLargeChange, 0)).size());
  CHECK(TimeOnLink(kLargeChange, 0) == Duration(0));
}
