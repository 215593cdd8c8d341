// Least-squares fit of a straight line, with its error.
#pragma once

#include <vector>

namespace runshelf::scale {

struct Point {
  double x = 0;
  double y = 0;
};

struct LinearFit {
  double slope = 0;
  double intercept = 0;
  double r_squared = 1;     // 1: the line explains all of the variation.
  double max_residual = 0;  // Largest distance of a point from the line, in units of y.
};

// Fits y = intercept + slope * x. Fewer than two different x: a flat line through the mean.
LinearFit FitLine(const std::vector<Point>& points);

// Fits y = c * x^e and returns e; 1 is linear growth, 2 quadratic. Zero when a point is not
// positive.
double FitExponent(const std::vector<Point>& points);

}  // namespace runshelf::scale
