#include "svgplot.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace Load {

namespace {

constexpr double width = 720;
constexpr double height = 300;
constexpr double margin = 50;
constexpr std::array<std::string_view, 4> colors = { "#1f6f8b", "#c8553d", "#588157", "#6d597a" };

double maximumValue(std::span<const PlotLine> lines)
{
    double maximum = 1;
    for (const PlotLine& line : lines) {
        for (const double value : line.values)
            maximum = std::max(maximum, value);
    }
    return maximum;
}

void drawLine(std::ostream& out, const PlotLine& line, std::string_view color, double maximum)
{
    const double steps = std::max<double>(1, static_cast<double>(line.values.size()) - 1);
    out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << color << "\" points=\"";
    for (std::size_t i = 0; i < line.values.size(); ++i) {
        const double x = margin + (width - 2 * margin) * static_cast<double>(i) / steps;
        const double y = height - margin - (height - 2 * margin) * line.values[i] / maximum;
        out << x << ',' << y << ' ';
    }
    out << "\"/>\n";
}

} // namespace

std::string renderSvgPlot(std::string_view title, std::string_view yLabel, std::span<const PlotLine> lines)
{
    std::ostringstream out;
    const double maximum = maximumValue(lines);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"" << margin << "\" y=\"20\" font-size=\"14\">" << title << "</text>\n"
        << "<text x=\"" << margin << "\" y=\"38\">" << yLabel << ", top " << maximum << "; x: seconds</text>\n"
        << "<path stroke=\"#888\" fill=\"none\" d=\"M" << margin << ' ' << margin << " V" << height - margin << " H"
        << width - margin << "\"/>\n";
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const std::string_view color = colors[i % colors.size()];
        drawLine(out, lines[i], color, maximum);
        out << "<text x=\"" << margin + 160 * static_cast<double>(i) << "\" y=\"" << height - 15 << "\" fill=\""
            << color << "\">" << lines[i].name << "</text>\n";
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace Load
