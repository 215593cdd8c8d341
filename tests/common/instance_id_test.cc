#include "runshelf/common/instance_id.h"

#include <CppUTest/TestHarness.h>

using runshelf::InstanceId;

TEST_GROUP(InstanceId){};

TEST(InstanceId, TextIsParsedBack) {
  const InstanceId id{"feedread-1", 0xabcdef};
  STRCMP_EQUAL("feedread-1/abcdef", id.ToString().c_str());
  CHECK(InstanceId::Parse(id.ToString()) == id);
}

TEST(InstanceId, OtherTextIsRefused) {
  for (const char* text : {"", "/", "node", "node/", "/12", "node/xyz", "node/12 "}) {
    CHECK(InstanceId::Parse(text).empty());
  }
}

TEST(InstanceId, ARestartedProcessIsAnotherInstance) {
  runshelf::SeededRandom random(1);
  CHECK(runshelf::NewInstanceId("n", random) != runshelf::NewInstanceId("n", random));
}
