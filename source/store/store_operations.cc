#include "source/store/store_operations.h"

namespace runshelf::store {

std::string RevisionText(Revision revision) {
  const std::string counter = std::to_string(CounterOf(revision));
  return EraOf(revision) == 0 ? counter : std::to_string(EraOf(revision)) + "." + counter;
}

}  // namespace runshelf::store
