#include "tools/scale/encoding_run.h"

#include <array>
#include <cstdlib>

#include "tools/scale/cpu_clock.h"

namespace runshelf::scale {
namespace {

using coordination::Encoding;
using coordination::Envelope;

constexpr size_t kSamplesOfKind = 400;
constexpr Duration kSettleLimit = std::chrono::seconds(60);
constexpr Duration kPhase = std::chrono::seconds(5);
constexpr int kRepetitions = 10;

struct NamedEncoding {
  Encoding encoding;
  std::string name;
};

const std::array<NamedEncoding, 3>& Encodings() {
  static const std::array<NamedEncoding, 3> kAll = {{{Encoding::kJson, "json"},
                                                     {Encoding::kCbor, "cbor"},
                                                     {Encoding::kMessagePack, "message_pack"}}};
  return kAll;
}

using Samples = std::array<std::vector<Envelope>, kMessageKinds>;

Samples TakeSamples(const FleetConfig& config) {
  Samples samples;
  std::array<uint64_t, kMessageKinds> seen{};
  SeededRandom random(config.seed);
  HollowFleet fleet(config);
  fleet.on_sent = [&](const Envelope& envelope) {
    const auto kind = static_cast<size_t>(KindOf(envelope));
    std::vector<Envelope>& of_kind = samples.at(kind);
    ++seen.at(kind);
    if (of_kind.size() < kSamplesOfKind) {
      of_kind.push_back(envelope);
      return;
    }
    // Reservoir sampling: every message of the run is equally likely to be kept.
    const uint64_t place = random.Below(seen.at(kind));
    if (place < kSamplesOfKind) of_kind[place] = envelope;
  };
  fleet.Settle(kSettleLimit);
  fleet.Run(kPhase);
  fleet.EditTable();
  fleet.Run(kPhase);
  if (HollowNode* leader = fleet.Leader()) fleet.Kill(*leader);
  fleet.Run(kPhase);
  return samples;
}

EncodingFigures Measure(const std::vector<Envelope>& samples, MessageKind kind,
                        const NamedEncoding& encoding) {
  EncodingFigures figures{std::string(KindName(kind)), encoding.name, samples.size(), 0, 0, 0};
  std::vector<std::string> encoded;
  double encode_seconds = 0;
  MeasureCpu(encode_seconds, [&] {
    for (int repetition = 0; repetition < kRepetitions; ++repetition) {
      encoded.clear();
      for (const Envelope& sample : samples) {
        encoded.push_back(EncodeEnvelope(sample, encoding.encoding));
      }
    }
  });
  double decode_seconds = 0;
  MeasureCpu(decode_seconds, [&] {
    for (int repetition = 0; repetition < kRepetitions; ++repetition) {
      for (const std::string& bytes : encoded) {
        if (!coordination::DecodeEnvelope(bytes, encoding.encoding).ok()) std::abort();
      }
    }
  });
  const auto count = static_cast<double>(samples.size());
  for (const std::string& bytes : encoded) {
    figures.mean_bytes += static_cast<double>(bytes.size()) / count;
  }
  figures.encode_microseconds = encode_seconds * 1e6 / (count * kRepetitions);
  figures.decode_microseconds = decode_seconds * 1e6 / (count * kRepetitions);
  return figures;
}

}  // namespace

std::vector<EncodingFigures> MeasureEncodings(const FleetConfig& config) {
  const Samples samples = TakeSamples(config);
  std::vector<EncodingFigures> all;
  for (size_t kind = 0; kind < kMessageKinds; ++kind) {
    if (samples.at(kind).empty()) continue;
    for (const NamedEncoding& encoding : Encodings()) {
      all.push_back(Measure(samples.at(kind), static_cast<MessageKind>(kind), encoding));
    }
  }
  return all;
}

}  // namespace runshelf::scale
