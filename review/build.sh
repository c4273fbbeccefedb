#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p target/classes
javac --release 17 -d target/classes standin/*.java
