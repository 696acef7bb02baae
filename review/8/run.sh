#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
if [ ! -f target/review-2/Case8.class ] || [ ! -f target/ragwortbank.jar ]; then
  echo "build first: bash deploy/build && bash review/build-2.sh" >&2
  exit 2
fi
timeout 110 java -cp target/review-2 Case8 review/8/record.txt
code=$?
exit $((code > 2 ? 2 : code))
