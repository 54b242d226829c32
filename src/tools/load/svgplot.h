#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Load {

/** A named line of a plot, with one value for each second. */
struct PlotLine {
    std::string name;
    std::vector<double> values;
};

/** Renders lines over time as an SVG image, with the time in seconds on the x axis. */
std::string renderSvgPlot(std::string_view title, std::string_view yLabel, std::span<const PlotLine> lines);

} // namespace Load
