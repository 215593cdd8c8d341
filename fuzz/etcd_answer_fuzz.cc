// Answers of the platform's key-value service, whatever it sends.
#include "fuzz/fuzz_target.h"
#include "source/infrastructure/etcd_messages.h"

using namespace runshelf::infrastructure;
using runshelf::fuzz::CountAccepted;

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text = runshelf::fuzz::ToText(data, size);
  if (DecodeRangeAnswer(text)) CountAccepted();
  if (DecodeCommitAnswer(text)) CountAccepted();
  if (DecodeLeaseGrantAnswer(text)) CountAccepted();
  if (DecodeKeepAliveAnswer(text)) CountAccepted();
  if (DecodeWatchAnswer(text)) CountAccepted();
  runshelf::fuzz::Require(!StatusOfRefusal(500, text, true).ok(), "a refusal is an error");
  return 0;
}
