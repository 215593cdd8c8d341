#include "tools/sim/naive.h"

#include <map>

namespace runshelf::sim {

absl::StatusOr<NaiveParts> ParseNaivePart(const std::string& name) {
  static const std::map<std::string, bool NaiveParts::*> kParts = {
      {"no_fencing", &NaiveParts::no_fencing},
      {"no_expiry_wait", &NaiveParts::no_expiry_wait},
      {"no_release_wait", &NaiveParts::no_release_wait},
      {"keep_grants", &NaiveParts::keep_grants},
      {"retry_any_error", &NaiveParts::retry_any_error},
      {"no_idempotency", &NaiveParts::no_idempotency},
      {"whole_table_write", &NaiveParts::whole_table_write},
      {"no_drain", &NaiveParts::no_drain},
      {"ignore_leaving", &NaiveParts::ignore_leaving},
  };
  NaiveParts parts;
  if (name == "none") {
    return parts;
  }
  const auto part = kParts.find(name);
  if (part == kParts.end()) {
    return absl::InvalidArgumentError("no such part: " + name);
  }
  parts.*(part->second) = true;
  return parts;
}

}  // namespace runshelf::sim
