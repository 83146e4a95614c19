#!/bin/sh
# Hundreds of clients stop in the middle of a request and stay. TROUBLE=0: no such clients.
cd "$(dirname "$0")" || exit 2
[ -x ../standins-2/target/cases ] || exit 2
exec ../standins-2/target/cases half .
