#include "source/sidecar/service_members.h"

#include <algorithm>

namespace runshelf::sidecar {
namespace {

// Bounds what messages with ever new identities can add. A machine has one worker at a time.
constexpr size_t kMaxIdentities = 32;

}  // namespace

void ServiceMembers::Add(const std::string& identity) {
  std::erase(identities_, identity);
  identities_.push_back(identity);
  if (identities_.size() > kMaxIdentities) identities_.pop_front();
}

void ServiceMembers::OnRunning(Instant alive_at) { running_at_ = std::max(running_at_, alive_at); }

bool ServiceMembers::Include(const std::string& identity, Instant received) const {
  if (std::find(identities_.begin(), identities_.end(), identity) != identities_.end()) return true;
  return running_at_ != Instant{} && received < running_at_ + reuse_after_;
}

void ServiceMembers::Clear() {
  identities_.clear();
  running_at_ = Instant{};
}

}  // namespace runshelf::sidecar
