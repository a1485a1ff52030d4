#!/usr/bin/env bash
# Plots the fraction of gold and silver requests answered in time, by scenario,
# from the tables of docs/MEASUREMENTS.md into docs/goodput.svg.
set -euo pipefail
cd "$(dirname "$0")/.."
Data=$(mktemp)
trap 'rm -f "$Data"' EXIT
awk -F'|' '
  /^### / { split($0, Part, /[ :]+/); Name = Part[2]; next }
  /^## / { Name = "" }
  Name && $2 ~ /^ (two choices|keepers) $/ && $3 ~ /gold|silver/ {
    gsub(/ /, "", $3)
    Run = $2 ~ /two/ ? "two" : "keepers"
    Asked[Name, Run] += $4
    Good[Name, Run] += $5
    if (!(Name in Seen)) { Seen[Name] = 1; Order[++Count] = Name }
  }
  END {
    for (I = 1; I <= Count; ++I) {
      N = Order[I]
      if (Asked[N, "two"] && Asked[N, "keepers"])
        printf "%s %.3f %.3f\n", N, Good[N, "two"] / Asked[N, "two"],
          Good[N, "keepers"] / Asked[N, "keepers"]
    }
  }' docs/MEASUREMENTS.md >"$Data"
gnuplot <<G
set terminal svg size 900,400
set output "docs/goodput.svg"
set style data histograms
set style fill solid 0.8
set yrange [0:1.05]
set ylabel "part answered in time, gold and silver"
set xtics rotate by -35
set key outside top
plot "$Data" using 2:xtic(1) title "two choices", "" using 3 title "keepers"
G
