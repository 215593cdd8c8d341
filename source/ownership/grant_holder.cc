#include "runshelf/ownership/grant_holder.h"

#include <algorithm>

namespace runshelf::ownership {
namespace {

// Room for the holder's own changes below each assignment version in FencingToken::sequence.
constexpr uint64_t kRevisionBits = 20;

bool Overlap(const std::vector<SlotRange>& left, const std::vector<SlotRange>& right) {
  return std::any_of(left.begin(), left.end(), [&](const SlotRange& a) {
    return std::any_of(right.begin(), right.end(),
                       [&](const SlotRange& b) { return a.first <= b.last && b.first <= a.last; });
  });
}

}  // namespace

void GrantHolder::OnRenewed(Instant expires_at, const FencingToken& version,
                            std::vector<SlotRange> slots, std::vector<Release> releases) {
  if (version != version_) revision_ = 0;
  version_ = version;
  owned_ = std::move(slots);
  releases_ = std::move(releases);
  expires_at_ = std::max(expires_at_, expires_at);
  RebuildTarget();
}

void GrantHolder::RebuildTarget() {
  std::vector<SlotNumber> slots;
  for (const SlotNumber slot : FromRanges(owned_)) {
    if (!IsReleasing(slot) || in_progress_.contains(slot)) slots.push_back(slot);
  }
  std::vector<SlotRange> ranges = ToRanges(std::move(slots));
  if (ranges != target_.slots) ++revision_;
  target_.slots = std::move(ranges);
  target_.expires_at = expires_at_;
  target_.token = version_;
  target_.token.sequence = (version_.sequence << kRevisionBits) + revision_;
}

std::optional<HeldGrant> GrantHolder::NextPush() const {
  if (target_.token == FencingToken{} || target_ == accepted_) return std::nullopt;
  return target_;
}

void GrantHolder::OnPushed(const HeldGrant& grant) {
  if (!IsUnanswered(grant)) unanswered_.push_back(grant);
  last_pushed_expiry_ = std::max(last_pushed_expiry_, grant.expires_at);
}

void GrantHolder::OnAccepted(Instant now, const HeldGrant& grant) {
  // A late answer to a grant that the server has replaced since tells nothing.
  if (grant.token < accepted_.token || !IsUnanswered(grant)) return;
  // Whoever let the grant run out cannot know what happened since.
  if (now >= accepted_.expires_at) held_since_.clear();
  accepted_ = grant;
  // The server refuses tokens and expiries below the accepted one, so older sendings are void.
  std::erase_if(unanswered_, [&](const HeldGrant& sent) {
    return sent.token < grant.token ||
           (sent.token == grant.token && sent.expires_at <= grant.expires_at);
  });
  std::map<SlotNumber, Instant> held_since;
  for (const SlotNumber slot : FromRanges(grant.slots)) {
    const auto held = held_since_.find(slot);
    held_since[slot] = held == held_since_.end() ? now : held->second;
  }
  held_since_ = std::move(held_since);
}

void GrantHolder::Revoke() {
  if (accepted_.token != FencingToken{}) unanswered_.push_back(accepted_);
  accepted_ = {};
  held_since_.clear();
  owned_.clear();
  releases_.clear();
  target_ = {};
}

void GrantHolder::OnServerEmpty() {
  Revoke();
  unanswered_.clear();
  // The version and the revision stay: a server that was only frozen remembers the highest token.
  expires_at_ = {};
  last_pushed_expiry_ = {};
}

bool GrantHolder::IsUnanswered(const HeldGrant& grant) const {
  return std::find(unanswered_.begin(), unanswered_.end(), grant) != unanswered_.end();
}

bool GrantHolder::IsReleasing(SlotNumber slot) const {
  return std::any_of(releases_.begin(), releases_.end(),
                     [&](const Release& release) { return Contains(release.ranges, slot); });
}

bool GrantHolder::MayServe(Instant now, SlotNumber slot) const {
  return now < accepted_.expires_at && Contains(accepted_.slots, slot) && Contains(owned_, slot) &&
         !IsReleasing(slot);
}

std::optional<FencingToken> GrantHolder::Enter(Instant now, SlotNumber slot) {
  if (!MayServe(now, slot)) return std::nullopt;
  ++in_progress_[slot];
  return accepted_.token;
}

void GrantHolder::Leave(SlotNumber slot) {
  const auto found = in_progress_.find(slot);
  if (found == in_progress_.end()) return;
  if (--found->second > 0) return;
  in_progress_.erase(found);
  if (target_.token != FencingToken{} && IsReleasing(slot)) RebuildTarget();
}

std::optional<Instant> GrantHolder::HeldSince(Instant now, SlotNumber slot) const {
  if (!MayServe(now, slot)) return std::nullopt;
  const auto held = held_since_.find(slot);
  if (held == held_since_.end()) return std::nullopt;
  return held->second;
}

bool GrantHolder::ServerMayHold(Instant now, const std::vector<SlotRange>& ranges) const {
  const auto holds = [&](const HeldGrant& grant) {
    return now < grant.expires_at && Overlap(grant.slots, ranges);
  };
  return holds(accepted_) || std::any_of(unanswered_.begin(), unanswered_.end(), holds);
}

std::vector<uint64_t> GrantHolder::FulfilledReleases(Instant now) const {
  std::vector<uint64_t> fulfilled;
  for (const Release& release : releases_) {
    const bool busy = std::any_of(in_progress_.begin(), in_progress_.end(), [&](const auto& entry) {
      return Contains(release.ranges, entry.first);
    });
    if (!busy && !ServerMayHold(now, release.ranges)) fulfilled.push_back(release.release_id);
  }
  return fulfilled;
}

std::vector<SlotRange> GrantHolder::ServingSlots(Instant now) const {
  if (now >= accepted_.expires_at) return {};
  std::vector<SlotNumber> slots;
  for (const SlotNumber slot : FromRanges(accepted_.slots)) {
    if (MayServe(now, slot)) slots.push_back(slot);
  }
  return ToRanges(std::move(slots));
}

}  // namespace runshelf::ownership
