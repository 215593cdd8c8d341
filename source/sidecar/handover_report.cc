#include "source/sidecar/handover_report.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "runshelf/common/json_writer.h"

namespace runshelf::sidecar {
namespace {

using nlohmann::json;

std::optional<ReleasedShard> ReadShard(const json& row) {
  if (!row.is_array() || row.size() != 6) return std::nullopt;
  if (!row[0].is_number_unsigned() || !row[1].is_number_unsigned()) return std::nullopt;
  if (!row[2].is_number_unsigned() || !row[3].is_string()) return std::nullopt;
  if (!row[4].is_string() || !row[5].is_string()) return std::nullopt;
  ReleasedShard shard;
  shard.first = row[0].get<sharding::ShardKey>();
  shard.last = row[1].get<sharding::ShardKey>();
  shard.token = row[2].get<sharding::FencingToken>();
  shard.successor = {row[3].get<std::string>(), row[4].get<std::string>()};
  shard.handover = row[5].get<std::string>();
  return shard;
}

}  // namespace

std::string HandoverReport::Serialize() const {
  json rows = json::array();
  for (const ReleasedShard& shard : shards) {
    rows.push_back({shard.first, shard.last, shard.token, shard.successor.node,
                    shard.successor.worker, shard.handover});
  }
  const json report = {{"node", node},
                       {"service", service},
                       {"era", era},
                       {"run_key", latest_run.key},
                       {"run_revision", latest_run.revision},
                       {"highest_token_seen", highest_token_seen},
                       {"shards", std::move(rows)}};
  return SerializeJson(report);
}

std::optional<HandoverReport> HandoverReport::Parse(const std::string& text) {
  const json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) return std::nullopt;
  for (const char* field : {"node", "service", "run_key"}) {
    if (!parsed.contains(field) || !parsed[field].is_string()) return std::nullopt;
  }
  for (const char* field : {"era", "run_revision", "highest_token_seen"}) {
    if (!parsed.contains(field) || !parsed[field].is_number_integer()) return std::nullopt;
  }
  if (!parsed.contains("shards") || !parsed["shards"].is_array()) return std::nullopt;
  HandoverReport report;
  report.node = parsed["node"].get<std::string>();
  report.service = parsed["service"].get<std::string>();
  report.era = parsed["era"].get<store::StoreEra>();
  report.latest_run = {parsed["run_key"].get<std::string>(),
                       parsed["run_revision"].get<store::Revision>()};
  report.highest_token_seen = parsed["highest_token_seen"].get<sharding::FencingToken>();
  for (const json& row : parsed["shards"]) {
    auto shard = ReadShard(row);
    if (!shard.has_value()) return std::nullopt;
    report.shards.push_back(*std::move(shard));
  }
  return report;
}

void HandOver(const sharding::WorkerId& successor, sharding::FencingToken token,
              const std::string& handover, sharding::Shard* shard) {
  if (successor.worker.empty()) {
    shard->owner.worker.clear();
    shard->handover = handover;
    shard->move_to_node.clear();
  } else {
    sharding::ShardMap::Assign(shard, successor, token, handover);
  }
}

}  // namespace runshelf::sidecar
