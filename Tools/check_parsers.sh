#!/usr/bin/env bash
# Checks that texts from outside are parsed in one place only, which limits their
# nesting: a deeply nested value overflows the stack when it is copied or written.
set -euo pipefail
cd "$(dirname "$0")/.."
# The reader of routes counts levels itself, while it parses.
Allowed='^(Source/Common/JsonReader\.cpp|platform/RouteReader\.cpp):'
Found=$(git grep -nE \
  '([Jj]son|JSON)::(parse|accept|sax_parse|from_[a-z]+)\(|>> *[A-Za-z]*Json' \
  -- Source platform | grep -vE "$Allowed" || true)
# YAML is parsed where its conversion limits the nesting.
Found+=$(git grep -nE 'YAML::Load' -- Source platform |
  grep -v '^Source/Version/DocumentReader\.cpp:' || true)
[ -z "$Found" ] || { echo "use Common/JsonReader.h:"; echo "$Found"; exit 1; }
echo "parsers: JSON is parsed in one place"
