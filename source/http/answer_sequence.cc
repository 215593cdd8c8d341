#include "source/http/answer_sequence.h"

#include <algorithm>
#include <utility>

namespace runshelf::http {

AnswerSequence::Number AnswerSequence::Append() {
  answers_.emplace_back();
  return first_ + answers_.size() - 1;
}

void AnswerSequence::AllowOverlap(Number number) {
  if (Answer* answer = Find(number)) answer->allows_overlap = true;
}

bool AnswerSequence::AcceptsAnother() const {
  if (answers_.size() >= kMaxOverlappingRequests) return false;
  if (held_bytes_ >= kMaxHeldAnswerBytes) return false;
  return std::all_of(answers_.begin(), answers_.end(),
                     [](const Answer& answer) { return answer.allows_overlap; });
}

void AnswerSequence::Hold(Number number, std::string_view bytes) {
  Answer* answer = Find(number);
  if (answer == nullptr) return;
  answer->held.append(bytes);
  held_bytes_ += bytes.size();
}

std::string AnswerSequence::EndTurn() {
  if (answers_.empty()) return {};
  answers_.erase(answers_.begin());
  ++first_;
  if (answers_.empty()) return {};
  std::string held = std::exchange(answers_.front().held, {});
  held_bytes_ -= held.size();
  return held;
}

void AnswerSequence::DropBehind(Number number) {
  while (!answers_.empty() && first_ + answers_.size() - 1 > number) {
    held_bytes_ -= answers_.back().held.size();
    answers_.pop_back();
  }
}

void AnswerSequence::Clear() {
  first_ += answers_.size();
  answers_.clear();
  held_bytes_ = 0;
}

AnswerSequence::Answer* AnswerSequence::Find(Number number) {
  if (number < first_ || number - first_ >= answers_.size()) return nullptr;
  return &answers_[number - first_];
}

}  // namespace runshelf::http
