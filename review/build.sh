#!/bin/sh
# Builds the stand-ins of the cases (clients, cache nodes, discovery) into review/out. Needs a JDK 17 and nothing else.
set -eu
cd "$(dirname "$0")"
mkdir -p out
javac --release 17 -Xlint:all -d out src/review/*.java
