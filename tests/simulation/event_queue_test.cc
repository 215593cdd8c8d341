#include "tools/sim/event_queue.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "runshelf/common/random.h"
#include "tools/sim/network.h"
#include "tools/sim/process.h"

using runshelf::Duration;
using runshelf::SeededRandom;
using runshelf::sim::EventQueue;
using runshelf::sim::HostIndex;
using runshelf::sim::Network;
using runshelf::sim::NetworkConfig;
using runshelf::sim::Process;
using runshelf::sim::TrueTime;

TEST_GROUP(EventQueue) {
  EventQueue queue;
  std::string log;

  TrueTime At(int64_t microseconds) { return TrueTime(Duration(microseconds)); }
};

TEST(EventQueue, RunsByTimeAndThenByOrderOfScheduling) {
  queue.At(At(20), [this] { log += "c"; });
  queue.At(At(10), [this] {
    log += "a";
    queue.After(Duration(0), [this] { log += "b"; });
  });
  queue.At(At(20), [this] { log += "d"; });
  queue.At(At(31), [this] { log += "late"; });
  queue.RunUntil(At(30));
  STRCMP_EQUAL("abcd", log.c_str());
}

TEST(EventQueue, PausedProcessRunsItsBacklogOnResume) {
  Process process(queue);
  process.Start();
  process.After(Duration(10), [this] { log += "timer "; });
  process.Pause();
  queue.RunUntil(At(100));
  process.Post([this] { log += "message "; });
  STRCMP_EQUAL("", log.c_str());
  process.Resume();
  STRCMP_EQUAL("timer message ", log.c_str());
}

TEST(EventQueue, NothingOfAnEndedProcessRunsInTheNextOne) {
  Process process(queue);
  process.Start();
  process.After(Duration(10), [this] { log += "old "; });
  process.Kill();
  process.Start();
  process.After(Duration(10), [this] { log += "new "; });
  queue.RunUntil(At(100));
  STRCMP_EQUAL("new ", log.c_str());
}

TEST(EventQueue, PartitionDropsDatagramsAndDelaysStreams) {
  SeededRandom random(1);
  Network network(queue, random, NetworkConfig{});
  const HostIndex left = network.AddHost("a");
  const HostIndex right = network.AddHost("b");
  const auto cut = network.Cut({{left}, {right}, false});
  network.SendDatagram(left, right, [this] { log += "datagram "; });
  network.SendStream(left, right, [this] { log += "stream "; });
  network.SendDatagram(right, left, [this] { log += "back "; });
  queue.RunUntil(At(100'000));
  STRCMP_EQUAL("back ", log.c_str());
  network.Heal(cut);
  queue.RunUntil(At(1'000'000));
  STRCMP_EQUAL("back stream ", log.c_str());
}
