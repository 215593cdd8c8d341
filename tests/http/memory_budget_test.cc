#include "source/http/memory_budget.h"

#include <CppUTest/TestHarness.h>

#include "source/http/receive_progress.h"
#include "source/http/request_reader.h"

using namespace runshelf;
using namespace runshelf::http;
using std::chrono::milliseconds;

namespace {

constexpr size_t kKilobyte = 1024;
constexpr size_t kLimit = 1024 * kKilobyte;
constexpr size_t kMaxBody = 512 * kKilobyte;
constexpr size_t kMaxHead = 16 * kKilobyte;

ReadStatus Read(RequestReader& reader, const std::string& bytes) {
  reader.Append(bytes);
  return reader.ReadNext(kMaxHead, kMaxBody);
}

std::string Post(size_t length) {
  return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

}  // namespace

TEST_GROUP(MemoryBudget) {
  std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(kLimit);
};

// Guards against large bodies that leave no memory for small requests.
TEST(MemoryBudget, LargeRequestsLeaveRoomForSmallOnes) {
  MemoryCharge large(budget);
  CHECK(large.Resize(768 * kKilobyte));
  CHECK_FALSE(large.Resize(768 * kKilobyte + 1));
  MemoryCharge other(budget);
  CHECK_FALSE(other.Resize(65 * kKilobyte));
  MemoryCharge small(budget);
  CHECK(small.Resize(64 * kKilobyte));
  MemoryCharge also_small(budget);
  CHECK(also_small.Resize(64 * kKilobyte));
  MemoryCharge too_many(budget);
  CHECK_FALSE(too_many.Resize(64 * kKilobyte));
  MemoryCharge tiny(budget);
  CHECK(tiny.Resize(4 * kKilobyte));
}

TEST(MemoryBudget, AChargeIsReturnedAtItsEnd) {
  {
    MemoryCharge charge(budget);
    CHECK(charge.Resize(1000));
    const auto part = charge.Split(400);
    CHECK_EQUAL(400, part->bytes());
    CHECK_EQUAL(600, charge.bytes());
    CHECK_EQUAL(1000, budget->used());
  }
  CHECK_EQUAL(0, budget->used());
}

TEST(MemoryBudget, RoomIsMadeBeforeARequestIsRefused) {
  MemoryCharge first(budget);
  CHECK(first.Resize(700 * kKilobyte));
  size_t asked = 0;
  budget->set_reclaim([&](size_t missing) {
    asked = missing;
    first.Resize(0);
  });
  MemoryCharge second(budget);
  CHECK(second.Resize(100 * kKilobyte));
  CHECK_EQUAL(32 * kKilobyte, asked);
}

TEST(MemoryBudget, WithoutALimitEverythingFits) {
  MemoryCharge unlimited(std::make_shared<MemoryBudget>(0));
  CHECK(unlimited.Resize(size_t{1} << 40U));
  MemoryCharge without(nullptr);
  CHECK(without.Resize(size_t{1} << 40U));
}

TEST_GROUP(ReaderCharges) {
  std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(kLimit);
};

// Guards against bodies that are begun although they cannot be completed.
TEST(ReaderCharges, AnAnnouncedLengthIsChargedWithTheHead) {
  RequestReader first(budget);
  CHECK(Read(first, Post(500 * kKilobyte)) == ReadStatus::kIncomplete);
  CHECK(budget->used() >= 500 * kKilobyte);
  RequestReader second(budget);
  CHECK(Read(second, Post(500 * kKilobyte)) == ReadStatus::kRefused);
  CHECK_EQUAL(503, second.refusal());
  second.Discard();
  first.Discard();
  CHECK_EQUAL(0, budget->used());
}

// Guards against a body over the limit that is kept until the limit is reached.
TEST(ReaderCharges, AnAnnouncedLengthOverTheLimitIsRefusedWithTheHead) {
  RequestReader reader(budget);
  CHECK(Read(reader, Post(kMaxBody + 1)) == ReadStatus::kRefused);
  CHECK_EQUAL(413, reader.refusal());
  RequestReader whole(budget);
  CHECK(Read(whole, Post(kMaxBody)) == ReadStatus::kIncomplete);
}

TEST(ReaderCharges, AChunkedBodyIsChargedAsItGrows) {
  RequestReader reader(budget);
  CHECK(Read(reader, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n") ==
        ReadStatus::kIncomplete);
  const size_t head = budget->used();
  CHECK(head < kKilobyte);
  const std::string chunk = "4000\r\n" + std::string(16 * kKilobyte, 'x') + "\r\n";
  for (int count = 1; count <= 32; ++count) {
    CHECK(Read(reader, chunk) == ReadStatus::kIncomplete);
    CHECK(budget->used() >= static_cast<size_t>(count) * 16 * kKilobyte);
    CHECK(budget->used() <= kMaxBody + head);
  }
  CHECK(Read(reader, chunk) == ReadStatus::kRefused);
  CHECK_EQUAL(413, reader.refusal());
}

TEST(ReaderCharges, AChunkedBodyThatDoesNotFitIsRefused) {
  MemoryCharge others(budget);
  CHECK(others.Resize(700 * kKilobyte));
  RequestReader reader(budget);
  ReadStatus status = Read(reader, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "4000\r\n" + std::string(16 * kKilobyte, 'x') + "\r\n";
  for (int count = 0; count < 8 && status == ReadStatus::kIncomplete; ++count) {
    status = Read(reader, chunk);
  }
  CHECK(status == ReadStatus::kRefused);
  CHECK_EQUAL(503, reader.refusal());
  CHECK(budget->used() <= 768 * kKilobyte);
}

// Guards against requests whose memory counts as free while they are still kept.
TEST(ReaderCharges, ACompleteRequestTakesItsChargeAlong) {
  RequestReader reader(budget);
  CHECK(Read(reader, Post(1000) + std::string(1000, 'x')) == ReadStatus::kRequest);
  Request kept = reader.TakeRequest().request;
  CHECK_EQUAL(0, reader.charged_bytes());
  CHECK(budget->used() >= 1000);
  Request copy = kept;
  kept = Request();
  CHECK(budget->used() >= 1000);
  copy = Request();
  CHECK_EQUAL(0, budget->used());
}

// Guards against heads of many short fields, which take more memory than their length.
TEST(ReaderCharges, FieldsAreChargedByTheMemoryThatTheyTake) {
  RequestReader reader(budget);
  std::string head = "POST / HTTP/1.1\r\n";
  for (int count = 0; count < 1000; ++count) head += "a:\r\n";
  CHECK(Read(reader, head) == ReadStatus::kIncomplete);
  CHECK(budget->used() >= 1000 * sizeof(Header));
}

TEST_GROUP(ReceiveProgress) {
  ReceiveProgress progress;
  Instant begin{std::chrono::seconds(100)};
  void setup() override { progress.Begin(begin); }
};

TEST(ReceiveProgress, TheFirstIntervalIsNoStall) {
  CHECK(progress.StalledSince(begin + milliseconds(499)) == Instant::max());
  CHECK(progress.StalledSince(begin + milliseconds(500)) == begin);
}

// Guards against clients that keep a request by sending a byte now and then.
TEST(ReceiveProgress, SingleBytesAreNoProgress) {
  progress.OnBytes(begin, 100000);
  for (int count = 1; count <= 30; ++count) progress.OnBytes(begin + milliseconds(count * 100), 1);
  CHECK(progress.StalledSince(begin + milliseconds(3000)) == begin + milliseconds(500));
}

TEST(ReceiveProgress, BytesAtTheLeastRateAreProgress) {
  for (int count = 0; count < 30; ++count) {
    progress.OnBytes(begin + milliseconds(count * 100), 500);
    CHECK(progress.StalledSince(begin + milliseconds(count * 100)) == Instant::max());
  }
}

TEST(ReceiveProgress, AStallEndsWithNewProgress) {
  CHECK(progress.StalledSince(begin + milliseconds(2000)) == begin);
  progress.OnBytes(begin + milliseconds(2100), 100000);
  CHECK(progress.StalledSince(begin + milliseconds(2500)) == Instant::max());
}
