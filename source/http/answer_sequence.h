// Puts the answers of one connection into the order of its requests. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace runshelf::http {

// Requests of one connection that may be in progress at the same time.
inline constexpr size_t kMaxOverlappingRequests = 8;
// Bytes of answers that may wait for their turn before no further request begins.
inline constexpr size_t kMaxHeldAnswerBytes = size_t{64} * 1024;

// The answers that are not complete, and the complete ones that wait for an earlier one. It is the
// turn of the first; what is written to the others is held until theirs.
class AnswerSequence {
 public:
  // Identifies an answer; they are numbered in the order of their requests.
  using Number = uint64_t;

  // Adds an answer behind all others.
  Number Append();
  bool empty() const { return answers_.empty(); }
  size_t size() const { return answers_.size(); }
  bool HasTurn(Number number) const { return !answers_.empty() && number == first_; }

  // Lets requests behind this one begin before its answer is complete.
  void AllowOverlap(Number number);
  // Whether a request behind the present ones may begin now if it allows overlapping itself.
  bool AcceptsAnother() const;

  // Keeps bytes of an answer that does not have the turn.
  void Hold(Number number, std::string_view bytes);
  // Bytes that are held, of all answers.
  size_t held_bytes() const { return held_bytes_; }
  // Removes the answer that has the turn and returns what is held of the next one.
  std::string EndTurn();
  // Removes all answers behind this one.
  void DropBehind(Number number);
  void Clear();

 private:
  struct Answer {
    std::string held;
    bool allows_overlap = false;
  };
  Answer* Find(Number number);

  std::vector<Answer> answers_;
  Number first_ = 0;  // Number of the first of `answers_`.
  size_t held_bytes_ = 0;
};

}  // namespace runshelf::http
