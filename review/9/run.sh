#!/bin/sh
# A connection to a worker ends under a request. TROUBLE=0: none does.
cd "$(dirname "$0")" || exit 2
[ -x ../standins-2/target/cases ] || exit 2
exec ../standins-2/target/cases copies .
