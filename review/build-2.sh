#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file: those in standin-2, and the
# project's own library for submitters. Needs the JDK of the build, and no network.
set -e
cd "$(dirname "$0")/.."
out=review/standin-2/target/classes
rm -rf "$out"
mkdir -p "$out"
find drmaa/src/main/java review/standin-2/src -name '*.java' ! -name module-info.java > review/standin-2/target/sources
javac -nowarn --release 17 -encoding UTF-8 -cp app/target/ryemast.jar -d "$out" @review/standin-2/target/sources
