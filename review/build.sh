#!/bin/bash
# Builds the stand-ins and the tests of this folder into review/build, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac -nowarn -d build src/*.java
