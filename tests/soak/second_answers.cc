#include "tests/soak/second_answers.h"

#include <array>
#include <string>

namespace runshelf::soak {
namespace {

using std::chrono::milliseconds;

// One in this many responses is not repeated.
constexpr uint64_t kNotRepeatedOneIn = 3;
constexpr Duration kShortestLateness = milliseconds(1);
constexpr Duration kLongestLateness = milliseconds(2000);
// Shorter than the time a worker takes for the next response on the connection.
constexpr Duration kLongestShortLateness = milliseconds(60);
constexpr Duration kLongestBetweenPieces = milliseconds(20);
// Longer than the header of a response, so that some splits fall within the body.
constexpr uint64_t kLongestFirstPiece = 200;
// Data that is not a valid response; the last one looks like the start of a status line.
constexpr std::array<const char*, 3> kInvalidResponses{"\r\n", "no answer\r\n\r\n", "HTTP/1.1 "};

}  // namespace

std::optional<FaultProxy::Repetition> SecondAnswers::Next() {
  if (random_.Below(kNotRepeatedOneIn) == 0) return std::nullopt;
  FaultProxy::Repetition repetition;
  repetition.from_next_request = random_.Below(2) == 0;
  const bool at_once = repetition.from_next_request && random_.Below(2) == 0;
  const Duration longest = random_.Below(2) == 0 ? kLongestShortLateness : kLongestLateness;
  if (!at_once) repetition.after = random_.Between(kShortestLateness, longest);
  const uint64_t form = random_.Below(4);
  if (form == 0) {
    repetition.first_piece = 1 + random_.Below(kLongestFirstPiece);
    repetition.between_pieces = random_.Between(kShortestLateness, kLongestBetweenPieces);
  }
  if (form == 1)
    repetition.followed_by = kInvalidResponses[random_.Below(kInvalidResponses.size())];
  return repetition;
}

}  // namespace runshelf::soak
