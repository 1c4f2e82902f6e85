#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption. What was sent, answered and run goes to record.txt here.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run, also if it was ended.
cd "$(dirname "$0")" || exit 2
timeout -k 3 117 python3 -B case.py &
play=$!
trap 'kill "$play" 2>/dev/null' HUP INT TERM
wait "$play"
code=$?
if [ "$code" -gt 128 ]; then
    wait "$play" # a signal has ended the first wait
    code=2
fi
case $code in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
