#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2. Needs a JDK 17 and no network. To be run after the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 --release 17 -d target/review-2 review/standins-2/*.java
