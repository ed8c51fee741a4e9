#!/bin/sh
# Builds the stand-ins and the programs of the cases review/6 to review/10 into target/review-2, with the JDK alone.
# To be run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -encoding UTF-8 -d target/review-2 review/standin-2/rig/*.java
for source in review/6/Case*.java review/7/Case*.java review/8/Case*.java review/9/Case*.java review/10/Case*.java; do
    [ ! -e "$source" ] || javac --release 17 -encoding UTF-8 -cp target/review-2 -d target/review-2 "$source"
done
