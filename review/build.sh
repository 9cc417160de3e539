#!/bin/sh
# Builds the stand-ins of all cases into review/classes; needs only the JDK.
set -e
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -d classes standins/*.java
