#include "runshelf/transport/control_transport.h"

#include <CppUTest/TestHarness.h>

#include <condition_variable>
#include <mutex>
#include <set>
#include <string>

#include "runshelf/transport/ip_address.h"

namespace runshelf::transport {
namespace {

// Collects what arrives; waits with ample bounds.
class Inbox {
 public:
  void Add(std::string message) {
    const std::lock_guard lock(mutex_);
    messages_.insert(std::move(message));
    changed_.notify_all();
  }

  bool WaitFor(const std::string& message) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(20),
                             [&] { return messages_.contains(message); });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::set<std::string> messages_;
};

}  // namespace

TEST_GROUP(ControlTransport) {
  SystemClock clock;
  Inbox inbox;
  std::unique_ptr<ControlTransport> sender;
  std::unique_ptr<ControlTransport> receiver;

  void setup() override {
    sender = *ControlTransport::Start(clock, "127.0.0.1:0", [](std::string) {});
    receiver = *ControlTransport::Start(clock, "127.0.0.1:0",
                                        [this](std::string message) { inbox.Add(message); });
  }
};

TEST(ControlTransport, CarriesSmallAndLargeMessages) {
  const std::string small(kMaxDatagramBytes, 's');
  const std::string large(kMaxDatagramBytes + 1, 'l');
  const std::string very_large(3'000'000, 'v');
  sender->Send(receiver->address(), small);
  sender->Send(receiver->address(), large);
  sender->Send(receiver->address(), very_large);
  CHECK(inbox.WaitFor(small));
  CHECK(inbox.WaitFor(large));
  CHECK(inbox.WaitFor(very_large));
  CHECK_EQUAL(1U, sender->counters().datagrams_sent);
  CHECK_EQUAL(3U, receiver->counters().messages_received);
}

TEST(ControlTransport, UnreachablePeersCostNothingButTheMessage) {
  const std::string gone = receiver->address();
  receiver->Stop();
  receiver.reset();
  const std::string large(kMaxDatagramBytes + 1, 'l');
  for (int i = 0; i < 1000; ++i) {
    sender->Send(gone, "small");
    sender->Send(gone, large);
    sender->Send("host.invalid:1", "small");
  }
  CHECK(sender->counters().dropped >= 1000);
  receiver = *ControlTransport::Start(clock, "127.0.0.1:0",
                                      [this](std::string message) { inbox.Add(message); });
  sender->Send(receiver->address(), "still alive");
  CHECK(inbox.WaitFor("still alive"));
}

TEST(ControlTransport, RefusesAddressInUse) {
  CHECK_FALSE(ControlTransport::Start(clock, receiver->address(), [](std::string) {}).ok());
}

TEST_GROUP(IpAddress){};

TEST(IpAddress, NumbersOnly) {
  CHECK(CheckIpAddress("127.0.0.1:7101").ok());
  CHECK(CheckIpAddress("[::1]:7101").ok());
  CHECK(CheckIpAddress("127.0.0.1:0", true).ok());
  for (const char* wrong : {"", ":", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:0",
                            "127.0.0.1:65536", "127.0.0.1:7x", "::1:80", "1.2.3:4", "[]:1"}) {
    CHECK_FALSE(CheckIpAddress(wrong).ok());
  }
}

}  // namespace runshelf::transport
