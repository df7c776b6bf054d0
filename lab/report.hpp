// What a run leaves behind: CSV files, a Markdown page, SVG charts by gnuplot.
#pragma once

#include <string>

#include "lab/run.hpp"

namespace sablespur::lab {

// Writes to the directory; false: there is no gnuplot, so there are no charts (the page says so).
bool writeReport(const std::string& directory, const Experiment&, const Outcome&, const Audit&, const Fleet&);
std::string markdown(const Experiment&, const Outcome&, const Audit&, bool charts);

}  // namespace sablespur::lab
