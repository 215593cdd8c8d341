#include "source/sidecar/transfer_plan.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace runshelf::sidecar {
namespace {

constexpr double kBytesPerMegabit = 125000;
constexpr size_t kMinCopies = 2;

// Assumed bandwidth of a link of unknown bandwidth, for comparison with other links.
constexpr uint32_t kUnknownLinkMegabits = 100;

// Relative load of a receiver's link if it forwards to one more node.
double LoadWithOneMore(const FeedReceiver& receiver) {
  const uint32_t megabits =
      receiver.link_megabits == 0 ? kUnknownLinkMegabits : receiver.link_megabits;
  return static_cast<double>(receiver.forward_to.size() + 1) / megabits;
}

}  // namespace

double BytesPerSecond(uint32_t link_megabits) { return link_megabits * kBytesPerMegabit; }

Duration TimeOnLink(size_t bytes, uint32_t link_megabits) {
  if (link_megabits == 0) return Duration(0);
  const double seconds = static_cast<double>(bytes) / BytesPerSecond(link_megabits);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

size_t CopiesWithin(Duration budget, uint32_t link_megabits, size_t bytes, size_t bytes_in_flight) {
  if (link_megabits == 0 || bytes == 0) return std::numeric_limits<size_t>::max();
  const double seconds = std::chrono::duration<double>(budget).count();
  const double room =
      seconds * BytesPerSecond(link_megabits) - static_cast<double>(bytes_in_flight);
  if (room <= 0) return kMinCopies;
  return std::max(kMinCopies, static_cast<size_t>(room / static_cast<double>(bytes)));
}

std::vector<FeedReceiver> AssignForwarding(std::vector<FeedReceiver> receivers, size_t copies) {
  if (receivers.size() <= copies) return receivers;
  std::vector<FeedReceiver> first(receivers.begin(),
                                  receivers.begin() + static_cast<std::ptrdiff_t>(copies));
  for (size_t index = copies; index < receivers.size(); ++index) {
    const auto least =
        std::min_element(first.begin(), first.end(), [](const auto& left, const auto& right) {
          return LoadWithOneMore(left) < LoadWithOneMore(right);
        });
    least->forward_to.push_back(std::move(receivers[index].node));
  }
  return first;
}

}  // namespace runshelf::sidecar
