#!/usr/bin/env bash
# Regenerates the committed FlatBuffers header; needs flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --scoped-enums --gen-object-api --filename-suffix _generated \
  -o Generated Source/Connection/Peer.fbs
