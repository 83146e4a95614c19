#!/bin/sh
# Runs a program of the second review that is no case: run-program-2.sh NAME FOLDER, with NAME `configurations` or `cut`.
# The record is written to FOLDER/record.txt. Exit codes and TROUBLE=0 as for the cases.
folder=$(cd "$2" 2> /dev/null && pwd) || exit 2
cd "$(dirname "$0")" || exit 2
[ -x standins-2/target/cases ] || exit 2
exec standins-2/target/cases "$1" "$folder"
