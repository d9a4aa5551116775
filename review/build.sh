#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/lib/*.java $(find review -mindepth 2 -name '*.java' -path 'review/[0-9]*')
