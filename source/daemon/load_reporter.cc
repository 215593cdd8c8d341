#include "source/daemon/load_reporter.h"

#include <chrono>

namespace runshelf::daemon {
namespace {

constexpr std::chrono::seconds kReportInterval{1};

}  // namespace

LoadReporter::~LoadReporter() { Stop(); }

void LoadReporter::Start() {
  thread_ = std::thread([this] { Run(); });
}

void LoadReporter::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void LoadReporter::Run() {
  std::unique_lock lock(mutex_);
  while (!changed_.wait_for(lock, kReportInterval, [this] { return stopping_; })) {
    coordinator_.With([this](coordination::Node& node, Instant now) {
      node.OnLoad(now, meter_.TakeReport(now));
    });
  }
}

}  // namespace runshelf::daemon
