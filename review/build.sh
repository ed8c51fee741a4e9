#!/bin/sh
# Builds the stand-ins and cases of this review into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -Xlint:all -Werror -d target/review review/rig/*.java
