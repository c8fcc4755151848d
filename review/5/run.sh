#!/usr/bin/env bash
# Writes record.txt beside this script.
. "$(dirname "$0")/../case.sh" LostDeregistration
