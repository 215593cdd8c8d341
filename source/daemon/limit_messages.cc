#include "source/daemon/limit_messages.h"

#include <chrono>
#include <string_view>
#include <utility>
#include <vector>

#include "runshelf/common/json_reader.h"

namespace runshelf::daemon {
namespace {

using admission::CellDemand;
using admission::CellShare;
using admission::ShareGrant;
using admission::ShareReport;
using nlohmann::json;

constexpr std::string_view kPrefix = R"({"limits":)";

// What a peer may say; larger numbers would overflow when added to an instant.
constexpr int64_t kLongestValidityUs = 86'400'000'000;
constexpr double kHighestRate = 1e9;

bool IsValidDuration(int64_t microseconds) {
  return microseconds >= 0 && microseconds <= kLongestValidityUs;
}

bool IsValidRate(double rate) { return rate >= 0 && rate <= kHighestRate; }

json ToJson(const std::vector<CellShare>& shares) {
  json array = json::array();
  for (const CellShare& share : shares) {
    array.push_back({{"service", share.service},
                     {"class", share.caller_class},
                     {"rate", share.requests_per_second},
                     {"valid_us", share.valid_for.count()}});
  }
  return array;
}

json ToJson(const std::vector<CellDemand>& demands) {
  json array = json::array();
  for (const CellDemand& demand : demands) {
    array.push_back({{"service", demand.service},
                     {"class", demand.caller_class},
                     {"rate", demand.requests_per_second}});
  }
  return array;
}

json ToJson(const ShareReport& report) {
  return {{"instance", report.instance.ToString()},
          {"term", report.leader_term},
          {"sequence", report.sequence},
          {"applied", report.applied_sequence},
          {"floor", report.floor_fraction},
          {"held", ToJson(report.held)},
          {"demands", ToJson(report.demands)}};
}

json ToJson(const ShareGrant& grant) {
  return {{"sequence", grant.sequence},
          {"floor", grant.floor_fraction},
          {"floor_valid_us", grant.floor_valid_for.count()},
          {"shares", ToJson(grant.shares)}};
}

bool ParseShare(const json& value, CellShare& share) {
  JsonReader reader(value);
  int64_t valid_us = 0;
  reader.Read("service", share.service)
      .Read("class", share.caller_class)
      .Read("rate", share.requests_per_second)
      .Read("valid_us", valid_us);
  share.valid_for = Duration(valid_us);
  return reader.ok() && IsValidDuration(valid_us) && IsValidRate(share.requests_per_second);
}

bool ParseDemand(const json& value, CellDemand& demand) {
  JsonReader reader(value);
  reader.Read("service", demand.service)
      .Read("class", demand.caller_class)
      .Read("rate", demand.requests_per_second);
  return reader.ok() && IsValidRate(demand.requests_per_second);
}

bool ParseReport(const json& value, ShareReport& report) {
  JsonReader reader(value);
  reader.Read("instance", report.instance)
      .Read("term", report.leader_term)
      .Read("sequence", report.sequence)
      .Read("applied", report.applied_sequence)
      .Read("floor", report.floor_fraction)
      .ReadArray("held", report.held, ParseShare)
      .ReadArray("demands", report.demands, ParseDemand);
  return reader.ok() && report.floor_fraction >= 0 && report.floor_fraction <= 1;
}

bool ParseGrant(const json& value, ShareGrant& grant) {
  JsonReader reader(value);
  int64_t floor_valid_us = 0;
  reader.Read("sequence", grant.sequence)
      .Read("floor", grant.floor_fraction)
      .Read("floor_valid_us", floor_valid_us)
      .ReadArray("shares", grant.shares, ParseShare);
  grant.floor_valid_for = Duration(floor_valid_us);
  return reader.ok() && IsValidDuration(floor_valid_us) && grant.floor_fraction >= 0 &&
         grant.floor_fraction <= 1;
}

bool ParseBody(const JsonReader& limits, LimitBody& body) {
  if (const json* report = limits.Find("report")) {
    return ParseReport(*report, body.emplace<ShareReport>());
  }
  const json* grant = limits.Find("grant");
  return grant != nullptr && ParseGrant(*grant, body.emplace<ShareGrant>());
}

}  // namespace

bool IsLimitMessage(const std::string& message) { return message.starts_with(kPrefix); }

std::string EncodeLimitMessage(const LimitMessage& message) {
  json limits = {{"group", message.group}};
  if (const auto* report = std::get_if<ShareReport>(&message.body)) {
    limits["report"] = ToJson(*report);
  } else {
    limits["grant"] = ToJson(std::get<ShareGrant>(message.body));
  }
  return json{{"limits", std::move(limits)}}.dump();
}

absl::StatusOr<LimitMessage> DecodeLimitMessage(const std::string& text) {
  if (!HasBoundedDepth(text)) {
    return absl::InvalidArgumentError("limit message nested too deep");
  }
  const json parsed = json::parse(text, nullptr, false);
  JsonReader outer(parsed);
  const json* limits = outer.Require("limits");
  if (limits == nullptr) {
    return absl::InvalidArgumentError("not a limit message");
  }
  LimitMessage message;
  JsonReader reader(*limits);
  reader.Read("group", message.group);
  if (!reader.ok() || !ParseBody(reader, message.body)) {
    return absl::InvalidArgumentError("malformed limit message");
  }
  return message;
}

}  // namespace runshelf::daemon
