#include "linebuffer.h"

#include <utility>

namespace coltsfoot {

std::string LineBuffer::add(std::string_view Line) {
  std::string Full;
  if (!Lines_.empty() && Lines_.size() + 1 + Line.size() > Capacity_)
    Full = take();
  if (!Lines_.empty())
    Lines_ += '\n';
  Lines_ += Line;
  return Full;
}

std::string LineBuffer::take() { return std::exchange(Lines_, {}); }

} // namespace coltsfoot
