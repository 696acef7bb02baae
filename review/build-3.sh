#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, under target/review-3; it needs a JDK only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
javac -d target/review-3 review/lab-3/*.java
