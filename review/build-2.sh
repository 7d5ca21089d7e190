#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra -I. -Iinclude"
for part in deployment workers; do
  # shellcheck disable=SC2086
  g++ $flags -c "review/stand-ins-2/$part.cc" -o "$out/$part.o"
done
for case in 6 7 8 9 10; do
  [ -f "review/$case/case.cc" ] || continue
  # shellcheck disable=SC2086
  g++ $flags "review/$case/case.cc" "$out/deployment.o" "$out/workers.o" \
    target/libbanyan_process.a target/libbanyan_core.a \
    target/libbanyan_transport.a -lPocoNet -lPocoFoundation -lglog -lspdlog \
    -lfmt -lpthread -o "$out/case-$case"
done
