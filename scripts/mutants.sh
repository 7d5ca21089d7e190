#!/usr/bin/env bash
# Breaks one mechanism at a time in a scratch copy and tells what catches it.
# usage: scripts/mutants.sh SCRATCH-FOLDER [NAME...]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
scratch=${1:?usage: scripts/mutants.sh SCRATCH-FOLDER [NAME...]}
shift
wanted=" $* "
mkdir -p "$scratch"
rm -rf "$scratch/tree"
git -C "$root" archive --prefix=tree/ HEAD | tar -x -C "$scratch"
cmake -S "$scratch/tree" -B "$scratch/build" -G Ninja >/dev/null
targets="banyan-matrix banyan-tests"
cmake --build "$scratch/build" -j 6 --target $targets >/dev/null

caught=0
missed=0
trim() { sed 's/^ *//; s/ *$//; s/\\|/|/g' <<<"$1"; }
while IFS= read -r line; do
  [[ -z $line || $line == \#* ]] && continue
  IFS=$'\x01' read -r name file old new < <(sed 's/ | /\x01/g' <<<"$line")
  name=$(trim "$name")
  if [[ $wanted != "  " && $wanted != *" $name "* ]]; then continue; fi
  file="$scratch/tree/$(trim "$file")"
  cp "$file" "$scratch/original"
  OLD=$(trim "$old") NEW=$(trim "$new") perl -0pi -e \
    '$o = join("\\s+", map { quotemeta } split(/\s+/, $ENV{OLD})); s/$o/$ENV{NEW}/g or exit 3' "$file" || true
  if cmp -s "$file" "$scratch/original"; then
    echo "$name: NOT APPLIED"
    missed=$((missed + 1))
    continue
  fi
  verdict="missed"
  if ! cmake --build "$scratch/build" -j 6 --target $targets >"$scratch/log" 2>&1; then
    verdict="does not build"
  else
    out=$(timeout 120 "$scratch/build/tests/banyan-matrix" --singles 1 2>/dev/null || true)
    cells=$(grep -c '^FAILED' <<<"$out" || true)
    first=$(grep -m1 -A1 '^FAILED' <<<"$out" | tail -1 | sed 's/^ *[0-9]* ms: //' | cut -c1-60 || true)
    unit=$(timeout 120 "$scratch/build/tests/banyan-tests" "$scratch/build" \
      "$scratch/tree" --quick 2>/dev/null | grep -c '  FAILED ' || true)
    if [[ $cells -gt 0 || $unit -gt 0 ]]; then
      verdict="caught by $cells cells ($first) and $unit unit cases"
    fi
  fi
  [[ $verdict == caught* ]] && caught=$((caught + 1)) || missed=$((missed + 1))
  echo "$name: $verdict"
  cp "$scratch/original" "$file"
done <"$root/tests/matrix/mutants.txt"
echo "mutants caught $caught, not caught $missed"
