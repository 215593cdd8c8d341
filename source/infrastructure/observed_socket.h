// A TCP socket that gives up by a deadline or on request, and that remembers whether anything was
// handed over to be sent.
#pragma once

#include <Poco/Net/StreamSocketImpl.h>

#include <functional>
#include <optional>

#include "runshelf/common/clock.h"

namespace runshelf::infrastructure {

class ObservedSocket : public Poco::Net::StreamSocketImpl {
 public:
  // Whether bytes may have reached the peer.
  bool has_sent() const { return has_sent_; }

  // Whether a read was given up because `stop` returned true.
  bool stopped() const { return stopped_; }

  // Reads that wait beyond `deadline` throw Poco::TimeoutException; nullopt lets them wait forever.
  void SetDeadline(std::optional<Instant> deadline) { deadline_ = deadline; }

  // Asked several times a second while a read waits.
  void SetStop(std::function<bool()> stop) { stop_ = std::move(stop); }

  int sendBytes(const void* buffer, int length, int flags) override;
  int receiveBytes(void* buffer, int length, int flags) override;

 protected:
  ~ObservedSocket() override = default;  // Counted references: POCO's Socket deletes it.

 private:
  void WaitUntilReadable();

  SystemClock clock_;
  bool has_sent_ = false;
  bool stopped_ = false;
  std::optional<Instant> deadline_;
  std::function<bool()> stop_;
};

}  // namespace runshelf::infrastructure
