#!/usr/bin/env bash
# Compiles the stand-ins and the cases. Needs a JDK 17 only; run it after the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf classes
mkdir -p classes
javac -encoding UTF-8 --release 17 -d classes src/review/*.java
