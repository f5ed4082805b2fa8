#!/bin/sh
# Builds all that the cases of the second review start, after the build of the deploy file: the stand-ins in standin-2, and
# from the project's sources its library for submitters and its stand-in for Consul. Needs the JDK alone, and no network.
set -eu
unset CDPATH
cd -- "$(dirname -- "$0")/.."
out=review/standin-2/target/classes
rm -rf "$out"
mkdir -p "$out"
find drmaa/src/main/java review/standin-2/src -name '*.java' > review/standin-2/target/sources
javac -nowarn --release 17 -encoding UTF-8 -cp app/target/ryemast.jar -sourcepath lab/src/main/java -d "$out" \
    @review/standin-2/target/sources
