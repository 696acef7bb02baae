#!/usr/bin/env bash
# Exits with 1 if rule LOST was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -f target/ragwortbank.jar ] && [ -f target/review-3/Drill.class ] || exit 2
exec timeout 115 java -Xmx256m -cp target/review-3 Drill review/12
