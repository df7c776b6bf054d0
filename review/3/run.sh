#!/usr/bin/env bash
# Plays the case and writes record.txt here. Exit status: 1 the rule was broken, 0 it held, 2 it could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
