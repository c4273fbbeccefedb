#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -d target/review-3 review/Rig3.java
for source in review/1[1-5]/*.java; do
	[ -e "$source" ] || continue
	javac -cp target/review-3 -d target/review-3 "$source"
done
