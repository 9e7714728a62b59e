#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 from the JDK alone, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/src-2/*.java
