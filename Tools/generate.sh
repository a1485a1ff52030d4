#!/usr/bin/env bash
# Writes the committed FlatBuffers header anew; needs flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --scoped-enums --gen-object-api --filename-suffix _generated \
  -o Generated Source/Connection/Peer.fbs
