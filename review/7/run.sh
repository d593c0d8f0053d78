#!/bin/sh
# Plays the case that claim.txt describes. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -m review.7.case
