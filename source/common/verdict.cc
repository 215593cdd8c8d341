#include "runshelf/common/verdict.h"

namespace runshelf {

std::string_view VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kMayHaveRun:
      return "may-have-run";
    case Verdict::kRan:
      return "ran";
  }
  return "may-have-run";
}

}  // namespace runshelf
