#!/usr/bin/env bash
# Writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
timeout -k 5 110 java -Xmx256m -cp ../target/classes PromptAtStop ../.. record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
