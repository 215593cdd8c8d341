#include "source/http/memory_budget.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace runshelf::http {
namespace {

// Shares of the limit that are reserved for tiny requests, and for small ones besides.
constexpr size_t kTinyReserveDivisor = 8;
constexpr size_t kSmallReserveDivisor = 8;

}  // namespace

size_t MemoryBudget::LimitFor(size_t request_bytes) const {
  if (limit_ == 0) return std::numeric_limits<size_t>::max();
  if (request_bytes <= kTinyRequestBytes) return limit_;
  const size_t small_limit = limit_ - limit_ / kTinyReserveDivisor;
  if (request_bytes <= kSmallRequestBytes) return small_limit;
  return small_limit - limit_ / kSmallReserveDivisor;
}

bool MemoryBudget::Change(size_t from, size_t to) {
  if (to > from) {
    const size_t growth = to - from;
    const size_t limit = LimitFor(to);
    if (growth > limit) return false;
    if (used_ > limit - growth && reclaim_) reclaim_(used_ - (limit - growth));
    if (used_ > limit - growth) return false;
  }
  used_ = used_ - from + to;
  return true;
}

MemoryCharge::~MemoryCharge() { Resize(0); }

bool MemoryCharge::Resize(size_t bytes) {
  if (budget_ != nullptr && !budget_->Change(bytes_, bytes)) return false;
  bytes_ = bytes;
  return true;
}

std::shared_ptr<const MemoryCharge> MemoryCharge::Split(size_t bytes) {
  auto part = std::make_shared<MemoryCharge>(budget_);
  part->bytes_ = std::min(bytes, bytes_);
  bytes_ -= part->bytes_;
  return part;
}

}  // namespace runshelf::http
