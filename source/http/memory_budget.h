// Accounts for the memory that a process uses for the requests it has received.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace runshelf::http {

// The bytes of all requests of a process, complete or not, and their limit. Part of the limit is
// reserved for small requests, so that large bodies do not displace them. Used on one thread.
class MemoryBudget {
 public:
  // Requests up to these sizes may use the memory that is reserved for them.
  static constexpr size_t kTinyRequestBytes = size_t{4} * 1024;
  static constexpr size_t kSmallRequestBytes = size_t{64} * 1024;

  // Zero: unlimited.
  explicit MemoryBudget(size_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  size_t limit() const { return limit_; }
  size_t used() const { return used_; }
  // Bytes up to which the budget may be used when a request of this size grows.
  size_t LimitFor(size_t request_bytes) const;

  // Called with the number of bytes that are missing when a request does not fit; may release
  // charges of other requests.
  void set_reclaim(std::function<void(size_t missing)> reclaim) { reclaim_ = std::move(reclaim); }

 private:
  friend class MemoryCharge;
  // Replaces a charge of `from` bytes by one of `to`. Returns false if that does not fit.
  bool Change(size_t from, size_t to);

  size_t limit_;
  size_t used_ = 0;
  std::function<void(size_t)> reclaim_;
};

// The share of one request in a budget, returned at its destruction.
class MemoryCharge {
 public:
  // Without a budget every size fits.
  explicit MemoryCharge(std::shared_ptr<MemoryBudget> budget) : budget_(std::move(budget)) {}
  ~MemoryCharge();
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  size_t bytes() const { return bytes_; }
  // Returns false, and leaves the charge as it is, if the new size does not fit.
  bool Resize(size_t bytes);
  // Moves `bytes`, at most all, to a new charge of the same budget.
  std::shared_ptr<const MemoryCharge> Split(size_t bytes);

 private:
  std::shared_ptr<MemoryBudget> budget_;
  size_t bytes_ = 0;
};

}  // namespace runshelf::http
