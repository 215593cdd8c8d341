#include "tests/soak/fault_proxy.h"

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace runshelf::soak {
namespace {

constexpr Duration kLingerAfterDelay = std::chrono::milliseconds(10);

bool RefusesNew(FaultProxy::Mode mode) {
  return mode == FaultProxy::Mode::kReset || mode == FaultProxy::Mode::kResetNew;
}

}  // namespace

// A caller's connection and the matching connection to the target.
class FaultProxy::Pair {
 public:
  Pair(FaultProxy* proxy, uint16_t port, std::unique_ptr<event::TcpStream> caller)
      : proxy_(proxy),
        port_(port),
        to_target_(this, /*is_forward=*/true),
        to_caller_(this, /*is_forward=*/false),
        end_timer_(proxy->loop_, [this] { proxy_->Remove(this); }) {
    to_caller_.stream = std::move(caller);
    to_target_.stream = event::TcpStream::Connect(proxy->loop_, proxy->target_, &to_target_);
    to_caller_.stream->set_observer(&to_caller_);
    to_caller_.stream->StartReading();
  }

  // Looked up at most once, and only when sources have modes of their own.
  int source() {
    if (!source_.has_value()) {
      const auto& source_of = proxy_->identification_.source_of;
      source_ = source_of ? source_of(port_) : kUnknownSource;
    }
    return *source_;
  }
  // Whether data or a close was dropped by a fault that can end.
  bool held_back() const { return held_back_ && !silenced_; }
  void Silence() { silenced_ = true; }
  void ForgetRepetitions() {
    repetition_.reset();
    repetitions_.clear();
  }

 private:
  // Data read from one end and queued for the other.
  struct Chunk {
    Instant due;
    std::string bytes;
  };

  // One of the two connections of a pair.
  struct End : public event::StreamObserver {
    End(Pair* owner, bool is_forward)
        : pair(owner), forward(is_forward), timer(owner->proxy_->loop_, [this] { WriteDue(); }) {}

    void OnConnected() override { stream->StartReading(); }
    void OnData(std::string_view data) override { pair->Pass(this, data); }
    void OnEnd(event::StreamEnd) override { pair->OnEndOfEither(); }

    // Queues data to be written to this end at `due`.
    void Enqueue(Instant due, std::string_view data) {
      chunks.push_back({due, std::string(data)});
      WriteDue();
    }

    void WriteDue() {
      const Instant now = pair->proxy_->loop_.Now();
      while (!chunks.empty() && chunks.front().due <= now) {
        stream->Write(chunks.front().bytes);
        chunks.pop_front();
      }
      if (!chunks.empty()) timer.Start(chunks.front().due - now);
    }

    Pair* pair;
    bool forward;  // Whether this is the connection to the target.
    std::unique_ptr<event::TcpStream> stream;
    std::deque<Chunk> chunks;
    event::Timer timer;
  };

  bool Blocked(bool forward) {
    if (silenced_) return true;
    switch (proxy_->FaultOf(this).mode) {
      case Mode::kSilent:
        return true;
      case Mode::kForwardOnly:
        return !forward;
      case Mode::kBackwardOnly:
        return forward;
      case Mode::kPass:
      case Mode::kDelay:
      case Mode::kReset:
      case Mode::kResetNew:
        return false;
    }
    return false;
  }

  void Pass(const End* from, std::string_view data) {
    End& to = from == &to_caller_ ? to_target_ : to_caller_;
    if (Blocked(to.forward)) {
      held_back_ = true;
      return;
    }
    if (held_back_) return;
    if (to.forward) {
      OnRequestBytes();
    } else {
      OnAnswerBytes(data);
    }
    const Fault& fault = proxy_->FaultOf(this);
    const Duration delay = fault.mode == Mode::kDelay ? fault.delay : Duration(0);
    to.Enqueue(proxy_->loop_.Now() + delay, data);
  }

  void OnRequestBytes() {
    if (answer_->empty()) return;
    const auto answer = std::exchange(answer_, std::make_shared<std::string>());
    const auto repetition = std::exchange(repetition_, std::nullopt);
    if (repetition.has_value() && repetition->from_next_request) RepeatLater(*repetition, answer);
  }

  void OnAnswerBytes(std::string_view data) {
    if (!proxy_->next_repetition_) return;
    if (answer_->empty()) {
      repetition_ = proxy_->next_repetition_();
      const bool from_now = repetition_.has_value() && !repetition_->from_next_request;
      if (from_now) RepeatLater(*repetition_, answer_);
    }
    answer_->append(data);
  }

  // `answer` is shared because the rest of the response may arrive before the timer fires.
  void RepeatLater(const Repetition& repetition, const std::shared_ptr<std::string>& answer) {
    if (repetition.after <= Duration(0)) return Repeat(repetition, *answer);
    std::erase_if(repetitions_, [](const auto& timer) { return !timer->active(); });
    repetitions_.push_back(std::make_unique<event::Timer>(
        proxy_->loop_, [this, repetition, answer] { Repeat(repetition, *answer); }));
    repetitions_.back()->Start(repetition.after);
  }

  void Repeat(const Repetition& repetition, const std::string& answer) {
    if (held_back_ || Blocked(/*forward=*/false)) return;
    ++proxy_->repeated_;
    const std::string bytes = answer + repetition.followed_by;
    const size_t first_piece = std::min(repetition.first_piece, bytes.size());
    const Instant now = proxy_->loop_.Now();
    if (first_piece > 0) to_caller_.Enqueue(now, bytes.substr(0, first_piece));
    to_caller_.Enqueue(now + repetition.between_pieces, bytes.substr(first_piece));
  }

  void OnEndOfEither() {
    // A fault that drops data also drops the close of a connection.
    if (Blocked(true) || Blocked(false)) {
      held_back_ = true;
      return;
    }
    const Fault& fault = proxy_->FaultOf(this);
    if (fault.mode == Mode::kDelay) {
      // Data read before the close is still delivered.
      end_timer_.Start(fault.delay + kLingerAfterDelay);
      return;
    }
    proxy_->Remove(this);
  }

  FaultProxy* proxy_;
  uint16_t port_;  // The caller's port.
  std::optional<int> source_;
  End to_target_;
  End to_caller_;
  event::Timer end_timer_;
  std::shared_ptr<std::string> answer_ = std::make_shared<std::string>();  // Latest response.
  std::optional<Repetition> repetition_;                                   // Of `answer_`.
  std::vector<std::unique_ptr<event::Timer>> repetitions_;                 // Pending.
  bool held_back_ = false;
  bool silenced_ = false;
};

FaultProxy::FaultProxy(event::EventLoop& loop, event::Endpoint target)
    : loop_(loop), target_(std::move(target)) {}

FaultProxy::~FaultProxy() = default;

int FaultProxy::Listen(const std::string& ip) {
  ip_ = ip;
  return ListenAgain();
}

int FaultProxy::ListenAgain() {
  if (listener_ != nullptr) return 0;
  listener_ = std::make_unique<event::TcpListener>(
      loop_, [this](std::unique_ptr<event::TcpStream> stream) { Accept(std::move(stream)); });
  const int result = listener_->Listen({ip_, port_});
  if (result != 0) {
    listener_.reset();
  } else {
    port_ = listener_->bound_port();
  }
  return result;
}

const FaultProxy::Fault& FaultProxy::FaultFrom(int source) const {
  const auto own = faults_from_.find(source);
  return own == faults_from_.end() ? fault_ : own->second;
}

const FaultProxy::Fault& FaultProxy::FaultOf(Pair* pair) const {
  return faults_from_.empty() ? fault_ : FaultFrom(pair->source());
}

void FaultProxy::Accept(std::unique_ptr<event::TcpStream> stream) {
  if (faults_from_.empty() && RefusesNew(fault_.mode)) return;
  const auto& port_of_latest = identification_.port_of_latest;
  const uint16_t port = port_of_latest ? port_of_latest() : uint16_t{0};
  auto pair = std::make_unique<Pair>(this, port, std::move(stream));
  if (!RefusesNew(FaultOf(pair.get()).mode)) pairs_.push_back(std::move(pair));
}

void FaultProxy::SetMode(Mode mode, Duration delay) {
  fault_ = {mode, delay};
  std::erase_if(pairs_,
                [mode](const auto& pair) { return mode == Mode::kReset || pair->held_back(); });
}

void FaultProxy::SetModeFrom(int source, Mode mode, Duration delay) {
  // Runs before the source's fault is removed, while it still identifies the pairs whose data it
  // dropped.
  std::erase_if(pairs_, [source, mode](const auto& pair) {
    const bool hit = mode == Mode::kReset || pair->held_back();
    return hit && pair->source() == source;
  });
  if (mode == Mode::kPass) {
    faults_from_.erase(source);
  } else {
    faults_from_[source] = {mode, delay};
  }
}

void FaultProxy::SilenceOpenConnections() {
  for (const auto& pair : pairs_) pair->Silence();
}

void FaultProxy::set_repetitions(NextRepetition next) {
  next_repetition_ = std::move(next);
  if (next_repetition_) return;
  for (const auto& pair : pairs_) pair->ForgetRepetitions();
}

void FaultProxy::Remove(const Pair* pair) {
  std::erase_if(pairs_, [&](const auto& other) { return other.get() == pair; });
}

}  // namespace runshelf::soak
