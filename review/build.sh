#!/bin/sh
# Builds the stand-ins and the cases of the review into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-9]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -I. -pthread "$source" \
    review/standin/*.cc -o "target/review/case-$number"
done
