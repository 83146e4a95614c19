#!/bin/sh
# Runs a case: run-case.sh CASE FOLDER. The record is written to FOLDER/record.txt. Exit code: 1 the rule was
# broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/.." || exit 2
stand_ins=target/review/release/review-standins
[ -x "$stand_ins" ] && [ -x target/release/postusher ] || { echo "build first: the deploy file's build, review/build.sh"; exit 2; }
exec "$stand_ins" "$1" "$2"
