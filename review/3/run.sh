#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run, also if it was ended for its time.
cd "$(dirname "$0")" || exit 2
timeout -k 3 112 env PYTHONDONTWRITEBYTECODE=1 python3 case.py
case $? in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
