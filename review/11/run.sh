#!/usr/bin/env bash
# Exits with 1 if rule ORDER was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
if [ ! -f target/ragwortbank.jar ] || [ ! -f target/review-3/DrillAndKill.class ]; then
  echo "not built: bash deploy/build, then bash review/build-3.sh"
  exit 2
fi
exec timeout 115 java -Xmx256m -cp target/review-3 DrillAndKill "$folder/record.txt"
