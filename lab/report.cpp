#include "lab/report.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>

#include "lab/quantiles.hpp"

namespace sablespur::lab {
namespace {

const char* resultName(Result g) {
  static const char* const names[] = {"served", "refused", "failed", "late", "unanswered"};
  return names[static_cast<int>(g)];
}
double seconds(Time t) { return static_cast<double>(t.count()) / 1e6; }
std::string formatNumber(double v) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6g", v);
  return text;
}

void writeCsv(const std::string& dir, const Outcome& o, const Audit& a) {
  std::ofstream answers(dir + "/answers.csv"), sends(dir + "/sends.csv"), members(dir + "/membership.csv"),
      each(dir + "/seconds.csv"), figures(dir + "/figures.csv");
  answers << "at_s,id,result,latency_ms\n";
  for (const auto& x : a.answers())
    answers << seconds(x.at) << ',' << x.id << ',' << resultName(x.got) << ',' << seconds(x.latency) * 1e3
            << '\n';
  sends << "at_s,proxy,server,class,id,age_ms\n";
  for (const auto& x : a.sends())
    sends << seconds(x.at) << ',' << x.proxy << ',' << x.server << ',' << x.cls << ',' << x.id << ','
          << seconds(x.age) * 1e3 << '\n';
  members << "at_s,proxy,server,in,after_withdrawal_ms\n";
  for (const auto& x : a.listUpdates())
    members << seconds(x.at) << ',' << x.proxy << ',' << x.server << ',' << x.in << ','
            << (x.after >= Time(0) ? formatNumber(seconds(x.after) * 1e3) : "") << '\n';
  each << "at_s,served,refused,failed,members,cpu_s,resident_mb\n";
  for (const SecondTotals& s : o.seconds)
    each << s.at << ',' << s.served << ',' << s.refused << ',' << s.failed << ',' << s.members << ',' << s.cpu
         << ',' << s.residentMb << '\n';
  figures << "figure,value\n";
  for (const auto& [name, v] : o.figures) figures << name << ',' << formatNumber(v) << '\n';
}

// Writes, for each second, the latency quantiles of served requests and the requests sent to each
// server. The charts read these files, which are small enough to keep.
void writePerSecond(const std::string& dir, const Audit& a, const Fleet& fleet) {
  std::map<long, Quantiles> latency;
  std::map<long, std::size_t> unserved;
  std::map<long, std::map<int, std::size_t>> sends;
  for (const auto& x : a.answers()) {
    const long second = static_cast<long>(x.at.count() / 1000000);
    if (x.got == Result::Served)
      latency[second].add(seconds(x.latency) * 1e3);
    else
      ++unserved[second];
  }
  for (const auto& x : a.sends()) ++sends[static_cast<long>(x.at.count() / 1000000)][x.server];
  std::ofstream out(dir + "/latency_by_second.csv");
  out << "second,served,not_served,p50_ms,p99_ms\n";
  for (const auto& [second, all] : latency) {
    out << second << ',' << all.count() << ',' << unserved[second] << ',' << formatNumber(all.at(0.5)) << ','
        << formatNumber(all.at(0.99)) << '\n';
  }
  std::ofstream sendsBySecond(dir + "/sends_by_second.csv");
  sendsBySecond << "second";
  for (const auto& s : fleet.servers()) sendsBySecond << ',' << s->number();
  sendsBySecond << '\n';
  for (auto& [second, counts] : sends) {
    sendsBySecond << second;
    for (const auto& s : fleet.servers()) sendsBySecond << ',' << counts[s->number()];
    sendsBySecond << '\n';
  }
}

bool drawCharts(const std::string& dir, std::size_t servers) {
  if (std::system("command -v gnuplot >/dev/null 2>&1") != 0) return false;
  std::ofstream g(dir + "/charts.gp");
  g << "set datafile separator ','\nset terminal svg size 900,360 dynamic background 'white' font 'sans,11'\n"
       "set grid\nset key outside\nset xlabel 'seconds'\n"
       "set output 'latency.svg'\nset title 'Latency of served requests, by second'\nset ylabel 'ms'\n"
       "set y2label 'not served'\nset y2tics\nset y2range [0:*]\nset yrange [0:*]\n"
       "plot 'latency_by_second.csv' every ::1 using 1:4 with lines lw 2 lc rgb '#3060a0' title 'median', "
       "'' every ::1 using 1:5 with lines lw 2 lc rgb '#d08020' title '99%', "
       "'' every ::1 using 1:3 axes x1y2 with impulses lw 3 lc rgb '#c04020' title 'not served'\n"
       "unset y2tics\nunset y2label\nset output 'sends.svg'\nset title 'Requests sent to each server, by "
       "second'\n"
       "set ylabel 'requests per second'\nplot for [k=2:"
    << std::min<std::size_t>(servers, 20) + 1
    << "] 'sends_by_second.csv' every ::1 using 1:k with lines lw 1.5 title 'server '.(k-1)\n"
       "set output 'membership.svg'\nset title 'Membership reported to the proxies'\nset ylabel "
       "'server'\nset yrange "
       "[*:*]\n"
       "plot 'membership.csv' every ::1 using 1:($4==1 ? $3+$2*0.1 : 1/0) with points pt 9 ps 0.5 lc rgb "
       "'#208040' title "
       "'listed', 'membership.csv' every ::1 using 1:($4==0 ? $3+$2*0.1 : 1/0) with points pt 11 ps 0.5 lc "
       "rgb "
       "'#c04020' title 'withdrawn'\n";
  g.close();
  const std::string command = "cd '" + dir + "' && gnuplot charts.gp 2>gnuplot.log";
  return std::system(command.c_str()) == 0;
}

}  // namespace

std::string markdown(const Experiment& e, const Outcome& o, const Audit& a, bool withCharts) {
  std::string s = "# " + (e.title.empty() ? e.file : e.title) + "\n\n";
  s += std::to_string(e.proxies) + " proxies, " + std::to_string(e.fleet.groups * e.fleet.members) +
       " servers in " + std::to_string(e.fleet.groups) + " groups, " + formatNumber(e.load.rate) +
       " requests per second, " + formatNumber(o.figures.at("seconds")) + " s, discovery by " + e.discovery +
       ", seed " + std::to_string(e.seed) + ".\n\n";
  s += "| claim | measured | |\n| --- | --- | --- |\n";
  for (const auto& j : o.claims)
    s += "| `" + j.claim.text + "` | " + (j.known ? formatNumber(j.measured) : "not measured") + " | " +
         (j.held ? "held" : "**broken**") + " |\n";
  s += "\n| figure | value |\n| --- | --- |\n";
  for (const auto& [name, v] : o.figures) s += "| " + name + " | " + formatNumber(v) + " |\n";
  if (!a.broken().empty()) {
    s += "\n| at | rule | what |\n| --- | --- | --- |\n";
    for (std::size_t k = 0; k < std::min<std::size_t>(a.broken().size(), 40); ++k)
      s += "| " + formatNumber(seconds(a.broken()[k].at)) + " s | " + a.broken()[k].rule + " | " +
           a.broken()[k].what + " |\n";
  }
  s += withCharts ? "\n![latency](latency.svg)\n\n![sends](sends.svg)\n\n![membership](membership.svg)\n"
                  : "\nThere are no charts, because gnuplot could not draw them.\n";
  return s;
}

bool writeReport(const std::string& dir, const Experiment& e, const Outcome& o, const Audit& a,
                 const Fleet& fleet) {
  writeCsv(dir, o, a);
  writePerSecond(dir, a, fleet);
  const bool drawn = drawCharts(dir, fleet.servers().size());
  std::ofstream(dir + "/report.md") << markdown(e, o, a, drawn);
  return drawn;
}

}  // namespace sablespur::lab
