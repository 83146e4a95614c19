#!/bin/sh
# One answer of one worker carries a spoilt load report. TROUBLE=0: a true one.
cd "$(dirname "$0")" || exit 2
[ -x ../standins-2/target/cases ] || exit 2
exec ../standins-2/target/cases report .
