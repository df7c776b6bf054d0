// Writes the report of a run: CSV files, a Markdown page, and SVG charts drawn by gnuplot.
#pragma once

#include <string>

#include "lab/run.hpp"

namespace sablespur::lab {

// Writes the report to `directory`. Returns false if the charts could not be drawn, for example
// because gnuplot is not installed; the page then says that there are none.
bool writeReport(const std::string& directory, const Experiment&, const Outcome&, const Audit&, const Fleet&);
std::string markdown(const Experiment&, const Outcome&, const Audit&, bool charts);

}  // namespace sablespur::lab
