// Size and cost of the messages in each encoding that nlohmann/json offers.
#pragma once

#include <string>
#include <vector>

#include "runshelf/coordination/message_json.h"
#include "tools/scale/hollow_fleet.h"

namespace runshelf::scale {

struct EncodingFigures {
  std::string kind;
  std::string encoding;
  size_t samples = 0;
  double mean_bytes = 0;
  double encode_microseconds = 0;  // Mean, processor time.
  double decode_microseconds = 0;
};

// Takes samples of every kind of message from a run of `config` with a start, a steady phase, an
// edit and the loss of the leader, and measures them in every encoding.
std::vector<EncodingFigures> MeasureEncodings(const FleetConfig& config);

}  // namespace runshelf::scale
