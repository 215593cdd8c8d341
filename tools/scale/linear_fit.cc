#include "tools/scale/linear_fit.h"

#include <algorithm>
#include <cmath>

namespace runshelf::scale {
namespace {

Point Mean(const std::vector<Point>& points) {
  Point mean;
  for (const Point& point : points) {
    mean.x += point.x;
    mean.y += point.y;
  }
  const auto count = static_cast<double>(points.size());
  return {mean.x / count, mean.y / count};
}

}  // namespace

LinearFit FitLine(const std::vector<Point>& points) {
  LinearFit fit;
  if (points.empty()) return fit;
  const Point mean = Mean(points);
  double sum_xx = 0;
  double sum_xy = 0;
  double sum_yy = 0;
  for (const Point& point : points) {
    sum_xx += (point.x - mean.x) * (point.x - mean.x);
    sum_xy += (point.x - mean.x) * (point.y - mean.y);
    sum_yy += (point.y - mean.y) * (point.y - mean.y);
  }
  fit.slope = sum_xx > 0 ? sum_xy / sum_xx : 0;
  fit.intercept = mean.y - fit.slope * mean.x;
  double squared_residuals = 0;
  for (const Point& point : points) {
    const double residual = point.y - (fit.intercept + fit.slope * point.x);
    squared_residuals += residual * residual;
    fit.max_residual = std::max(fit.max_residual, std::abs(residual));
  }
  fit.r_squared = sum_yy > 0 ? 1 - squared_residuals / sum_yy : 1;
  return fit;
}

double FitExponent(const std::vector<Point>& points) {
  std::vector<Point> logarithms;
  logarithms.reserve(points.size());
  for (const Point& point : points) {
    if (point.x <= 0 || point.y <= 0) return 0;
    logarithms.push_back({std::log(point.x), std::log(point.y)});
  }
  return FitLine(logarithms).slope;
}

}  // namespace runshelf::scale
