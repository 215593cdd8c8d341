#include "tools/scale/linear_fit.h"

#include <CppUTest/TestHarness.h>

#include "runshelf/common/random.h"

using runshelf::SeededRandom;
using runshelf::scale::FitExponent;
using runshelf::scale::FitLine;
using runshelf::scale::LinearFit;
using runshelf::scale::Point;

namespace {

constexpr double kTolerance = 1e-9;

double SquaredResiduals(const std::vector<Point>& points, double slope, double intercept) {
  double sum = 0;
  for (const Point& point : points) {
    const double residual = point.y - intercept - slope * point.x;
    sum += residual * residual;
  }
  return sum;
}

}  // namespace

TEST_GROUP(LinearFit){};

TEST(LinearFit, FindsTheLineThatThePointsLieOn) {
  const LinearFit fit = FitLine({{8, 7 + 3 * 8}, {16, 7 + 3 * 16}, {64, 7 + 3 * 64}});
  DOUBLES_EQUAL(3, fit.slope, kTolerance);
  DOUBLES_EQUAL(7, fit.intercept, kTolerance);
  DOUBLES_EQUAL(1, fit.r_squared, kTolerance);
  DOUBLES_EQUAL(0, fit.max_residual, kTolerance);
}

TEST(LinearFit, StatesItsError) {
  // By hand: slope 0.5, intercept 1/3; residuals 1/6, -1/3, 1/6 of a variation of 2/3.
  const LinearFit fit = FitLine({{1, 1}, {2, 1}, {3, 2}});
  DOUBLES_EQUAL(0.5, fit.slope, kTolerance);
  DOUBLES_EQUAL(1.0 / 3, fit.intercept, kTolerance);
  DOUBLES_EQUAL(0.75, fit.r_squared, kTolerance);
  DOUBLES_EQUAL(1.0 / 3, fit.max_residual, kTolerance);
}

TEST(LinearFit, NoOtherLineNearbyFitsBetter) {
  SeededRandom random(7);
  for (int round = 0; round < 200; ++round) {
    std::vector<Point> points;
    points.reserve(6);
    for (int i = 0; i < 6; ++i) {
      points.push_back({static_cast<double>(1 << i), static_cast<double>(random.Below(1000))});
    }
    const LinearFit fit = FitLine(points);
    const double best = SquaredResiduals(points, fit.slope, fit.intercept);
    for (const double change : {-0.5, 0.5}) {
      CHECK(SquaredResiduals(points, fit.slope + change, fit.intercept) > best);
      CHECK(SquaredResiduals(points, fit.slope, fit.intercept + change) > best);
    }
  }
}

TEST(LinearFit, IsFlatWhereNothingVaries) {
  const LinearFit fit = FitLine({{4, 2}, {4, 6}});
  DOUBLES_EQUAL(0, fit.slope, kTolerance);
  DOUBLES_EQUAL(4, fit.intercept, kTolerance);
  DOUBLES_EQUAL(0, FitLine({}).slope, kTolerance);
}

TEST(LinearFit, ExponentTellsLinearFromQuadraticGrowth) {
  DOUBLES_EQUAL(1, FitExponent({{8, 24}, {16, 48}, {64, 192}}), kTolerance);
  DOUBLES_EQUAL(2, FitExponent({{8, 64}, {16, 256}, {64, 4096}}), kTolerance);
  DOUBLES_EQUAL(0, FitExponent({{8, 0}, {16, 1}}), kTolerance);
}
