#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-2
mkdir -p target/review-2
sources=(review/Rig.java review/Prompts.java)
for folder in review/{6,8,9,10}; do
	for file in "$folder"/*.java; do
		[ ! -f "$file" ] || sources+=("$file")
	done
done
javac -Xlint:all,-serial -d target/review-2 "${sources[@]}"
