#!/usr/bin/env bash
# Plays the case and writes record.txt here. Exit status: 1 the rule was broken, 0 it held, 2 it could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
python3 case.py &
trap 'kill $! 2>/dev/null' TERM INT
wait $!
status=$?
[ $status -le 128 ] || { wait $!; status=2; }  # ended by a signal: wait until its processes have ended
case $status in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
