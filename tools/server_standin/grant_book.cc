#include "tools/server_standin/grant_book.h"

#include <utility>

namespace runshelf::server_standin {

bool GrantBook::Install(Instant now, const Grant& grant) {
  if (grant.token < current_.token) return false;
  const bool lapsed = now >= current_.expires_at;
  std::map<SlotNumber, FencingToken> tenure_start;
  for (const SlotNumber slot : FromRanges(grant.slots)) {
    const auto held = tenure_start_.find(slot);
    const bool unbroken = !lapsed && held != tenure_start_.end();
    tenure_start[slot] = unbroken ? held->second : grant.token;
  }
  tenure_start_ = std::move(tenure_start);
  current_ = grant;
  return true;
}

bool GrantBook::MayExecute(Instant now, SlotNumber slot, const FencingToken& token) const {
  if (now >= current_.expires_at) return false;
  const auto held = tenure_start_.find(slot);
  if (held == tenure_start_.end()) return false;
  return held->second <= token && token <= current_.token;
}

}  // namespace runshelf::server_standin
