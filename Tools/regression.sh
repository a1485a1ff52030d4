#!/usr/bin/env bash
# Runs the regression before a landing, with the users' bench: the standard days of
# the scored sites, and hunts on all sites. Not part of CI, which has no bench.
#   BENCH=PROGRAM SYSTEM=FOLDER [JOBS=N] Tools/regression.sh score|hunt WHY [SITE...]
# SYSTEM is the folder of the users' pages; a SITE, e.g. further/ramdin-manuels,
# limits the run to it. A hunt takes 40 days on each site, but 8 on sites with 60
# VMs or more.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${BENCH:?the path of the bench}" "${SYSTEM:?the folder of the pages}"
Verb=${1:-}
Why=${2:-}
if [ "$Verb" != score ] && [ "$Verb" != hunt ] || [ -z "$Why" ]; then
  sed -n '2,8s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
shift 2
# The large site is scored instead of the two oldest sites, which are still hunted
# on.
Scored=(demands/bluemahoe-lessons-grown demands/plat-pays-tours-grown
  shifted/emalq-red-now-grown large/emalq-red-large further-grown/ramdin-manuels-grown
  grown/emalq-red-grown grown/rcic-lending-grown further/ramdin-manuels)
Hunted=("${Scored[@]}" sites/emalq-red sites/rcic-lending)
Large="demands/bluemahoe-lessons-grown shifted/emalq-red-now-grown large/emalq-red-large further-grown/ramdin-manuels-grown grown/emalq-red-grown grown/rcic-lending-grown"
Sites=("${Hunted[@]}")
[ "$Verb" = hunt ] || Sites=("${Scored[@]}")
[ $# -eq 0 ] || Sites=("$@")
Jobs=${JOBS:-$(($(nproc) / 2))}
Failed=0
for Site in "${Sites[@]}"; do
  Options=(--jobs "$Jobs" --why "$Why")
  if [ "$Verb" = hunt ]; then
    Days=40
    [[ " $Large " != *" $Site "* ]] || Days=8
    Options+=(--days "$Days")
  fi
  echo "== $Verb $Site"
  "$BENCH" "$Verb" "$SYSTEM/$Site.toml" "${Options[@]}" || Failed=1
done
exit "$Failed"
