#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15, after the build of the deploy file. Needs a JDK 17 only.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/src-3/classes
rm -f review/src-3/classes/*.class
javac -Xlint:all -Werror -d review/src-3/classes review/src-3/*.java
