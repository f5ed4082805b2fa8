#!/bin/sh
# Builds all that the cases of the second review start, after the build of the deploy file: the stand-ins in standin-2, the
# project's own library for submitters, and its stand-in for Consul (in the lab's jar).
set -eu
unset CDPATH
cd -- "$(dirname -- "$0")/.."
mvn -q -o -DskipTests package >/dev/null 2>&1 || mvn -q -DskipTests package
# The jar of the program is new: the archives of its classes are made for it again, as by the deploy file's build.
deploy/archive
out=review/standin-2/target/classes
rm -rf "$out"
mkdir -p "$out"
find drmaa/src/main/java review/standin-2/src -name '*.java' > review/standin-2/target/sources
javac -nowarn --release 17 -encoding UTF-8 -cp app/target/ryemast.jar -d "$out" @review/standin-2/target/sources
