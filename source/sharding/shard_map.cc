#include "source/sharding/shard_map.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "runshelf/common/json_writer.h"

namespace runshelf::sharding {
namespace {

using nlohmann::json;

absl::Status Invalid(const char* reason) { return absl::InvalidArgumentError(reason); }

// A shard is encoded as the row [first, last, owner, token, handover, move_to], followed by `true`
// if it was carried over. `owner` is an index into a separate list, since many shards share one.
constexpr size_t kRowSize = 6;
constexpr size_t kCarriedOverRowSize = 7;

bool IsShardRow(const json& row) {
  if (!row.is_array()) return false;
  const bool carried_over =
      row.size() == kCarriedOverRowSize && row[kRowSize].is_boolean() && row[kRowSize].get<bool>();
  return (row.size() == kRowSize || carried_over) && row[0].is_number_unsigned() &&
         row[1].is_number_unsigned() && row[2].is_number_unsigned() &&
         row[3].is_number_unsigned() && row[4].is_string() && row[5].is_string();
}

bool IsOwnerRow(const json& row) {
  return row.is_array() && row.size() == 2 && row[0].is_string() && row[1].is_string();
}

}  // namespace

const Shard* ShardMap::Find(ShardKey key) const {
  const auto after =
      std::upper_bound(shards_.begin(), shards_.end(), key,
                       [](ShardKey value, const Shard& shard) { return value < shard.first; });
  if (after == shards_.begin()) return nullptr;
  const Shard& shard = *std::prev(after);
  return shard.Contains(key) ? &shard : nullptr;
}

bool ShardMap::KeepsAssignment(const Shard& shard) const {
  return std::all_of(shards_.begin(), shards_.end(), [&shard](const Shard& other) {
    const bool apart = other.last < shard.first || shard.last < other.first;
    return apart || (other.owner == shard.owner && other.token == shard.token);
  });
}

void ShardMap::CarryOver(FencingToken token_base) {
  RaiseLastToken(token_base);
  const FencingToken token = NextToken();
  for (Shard& shard : shards_) {
    shard.token = token;
    shard.carried_over = true;
  }
}

void ShardMap::EndCarryOver() {
  for (Shard& shard : shards_) shard.carried_over = false;
}

bool ShardMap::HasCarriedOver() const {
  return std::any_of(shards_.begin(), shards_.end(),
                     [](const Shard& shard) { return shard.carried_over; });
}

void ShardMap::Assign(Shard* shard, const WorkerId& owner, FencingToken token,
                      const std::string& handover) {
  shard->owner = owner;
  shard->token = token;
  shard->handover = handover;
  shard->move_to_node.clear();
}

void ShardMap::Split(ShardKey at) {
  for (size_t index = 0; index < shards_.size(); ++index) {
    if (!shards_[index].Contains(at) || shards_[index].first == at) continue;
    Shard second = shards_[index];
    second.first = at;
    shards_[index].last = at - 1;
    shards_.insert(shards_.begin() + static_cast<std::ptrdiff_t>(index) + 1, second);
    return;
  }
}

void ShardMap::MergeNeighbours() {
  std::vector<Shard> merged;
  for (const Shard& shard : shards_) {
    if (!merged.empty()) {
      Shard joined = merged.back();
      joined.first = shard.first;
      joined.last = shard.last;
      if (joined == shard) {
        merged.back().last = shard.last;
        continue;
      }
    }
    merged.push_back(shard);
  }
  shards_ = std::move(merged);
}

std::string ShardMap::Serialize() const {
  json owners = json::array();
  json rows = json::array();
  std::map<std::pair<std::string, std::string>, size_t> owner_index;
  for (const Shard& shard : shards_) {
    const std::pair key(shard.owner.node, shard.owner.worker);
    const auto [position, added] = owner_index.emplace(key, owner_index.size());
    if (added) owners.push_back({shard.owner.node, shard.owner.worker});
    rows.push_back({shard.first, shard.last, position->second, shard.token, shard.handover,
                    shard.move_to_node});
    if (shard.carried_over) rows.back().push_back(true);
  }
  return SerializeJson({{"last_token", last_token_}, {"owners", owners}, {"shards", rows}});
}

absl::StatusOr<ShardMap> ShardMap::Parse(const std::string& text) {
  const json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object()) return Invalid("not a JSON object");
  const auto token = value.find("last_token");
  const auto owners = value.find("owners");
  const auto rows = value.find("shards");
  if (token == value.end() || !token->is_number_unsigned()) return Invalid("last_token is invalid");
  if (owners == value.end() || !owners->is_array()) return Invalid("owners is not an array");
  if (rows == value.end() || !rows->is_array()) return Invalid("shards is not an array");
  ShardMap map;
  map.last_token_ = token->get<FencingToken>();
  uint64_t next_key = 0;
  for (const json& row : *rows) {
    if (!IsShardRow(row)) return Invalid("malformed shard row");
    const auto owner_index = row[2].get<size_t>();
    if (owner_index >= owners->size()) return Invalid("owner index of a shard is out of range");
    const json& owner = (*owners)[owner_index];
    if (!IsOwnerRow(owner)) return Invalid("an owner is not a pair of strings");
    const auto first = row[0].get<uint64_t>();
    const auto last = row[1].get<uint64_t>();
    if (first != next_key || last < first || last > kMaxShardKey) {
      return Invalid("shards do not cover every key exactly once");
    }
    next_key = last + 1;
    Shard shard;
    shard.first = static_cast<ShardKey>(first);
    shard.last = static_cast<ShardKey>(last);
    shard.owner = {owner[0].get<std::string>(), owner[1].get<std::string>()};
    shard.token = row[3].get<FencingToken>();
    shard.handover = row[4].get<std::string>();
    shard.move_to_node = row[5].get<std::string>();
    shard.carried_over = row.size() == kCarriedOverRowSize;
    if (shard.token > map.last_token_) return Invalid("token of a shard is above last_token");
    map.shards_.push_back(std::move(shard));
  }
  if (next_key != kMaxShardKey + 1) return Invalid("shards do not cover every key exactly once");
  return map;
}

}  // namespace runshelf::sharding
