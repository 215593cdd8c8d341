#include "source/sidecar/shard_map_key.h"

#include "source/http/message.h"
#include "source/sidecar/part_configs.h"

namespace runshelf::sidecar {

std::string ShardMapKey::ToString() const {
  const std::string key = KeyOf(kShardPrefix, service);
  return era == 0 ? key : key + "/" + std::to_string(era);
}

std::optional<ShardMapKey> ShardMapKey::Parse(const std::string& key) {
  ShardMapKey parsed;
  parsed.service = NameAfter(key, kShardPrefix);
  if (parsed.service.empty()) return std::nullopt;
  const size_t slash = parsed.service.find('/');
  if (slash == std::string::npos) return parsed;
  const auto era = http::ParseNumber(parsed.service.substr(slash + 1));
  if (slash == 0 || !era.has_value() || *era == 0) return std::nullopt;
  parsed.era = *era;
  parsed.service.resize(slash);
  return parsed;
}

bool ShardMapVersion::OlderThan(const ShardMapKey& key, store::Revision item_revision) const {
  if (revision == 0) return true;
  if (key.era != era) return key.era > era;
  const bool from_copy = store::EraOf(item_revision) > key.era;
  return !from_copy && item_revision > revision;
}

}  // namespace runshelf::sidecar
