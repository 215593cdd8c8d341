// Requests to the stand-in's key-value service. The first line is the path, the rest the body.
#include "fuzz/fuzz_target.h"
#include "runshelf/common/clock.h"
#include "tools/platform_standin/etcd_api.h"
#include "tools/platform_standin/etcd_codec.h"
#include "tools/platform_standin/json_fields.h"

using namespace runshelf::platform_standin;

namespace {

class StoppedClock : public runshelf::Clock {
 public:
  runshelf::Instant Now() const override { return runshelf::Instant(std::chrono::seconds(100)); }
};

constexpr char kStoreSomething[] = R"({"success":[{"request_put":{"key":"YQ==","value":"MQ=="}}]})";

}  // namespace

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text = runshelf::fuzz::ToText(data, size);
  const size_t line_end = text.find('\n');
  if (line_end == std::string::npos) return 0;
  const std::string path = text.substr(0, line_end);
  const std::string body = text.substr(line_end + 1);

  const StoppedClock clock;
  SynchronizedStore store(clock);
  runshelf::fuzz::Require(HandleCall(store, "/v3/kv/txn", kStoreSomething).http_status == 200,
                          "a plain transaction succeeds");
  const int64_t revision = store.revision();
  const ApiAnswer answer = HandleCall(store, path, body);
  if (answer.http_status == 200) runshelf::fuzz::CountAccepted();
  (void)answer.body.dump(-1, ' ', false, nlohmann::json::error_handler_t::strict);
  runshelf::fuzz::Require(store.revision() >= revision, "revisions never go back");
  if (const auto object = ParseObject(body); object.ok()) (void)DecodeWatch(*object);
  return 0;
}
