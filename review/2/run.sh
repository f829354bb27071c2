#!/bin/sh
# Writes to record.txt in this folder what was sent, answered and run.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/review:target/deps exec python3 review/2/case.py
