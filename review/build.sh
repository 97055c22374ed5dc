#!/bin/sh
# Builds the stand-ins of the cases; needs the JDK only.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -Xlint:all -d build standins/*.java
