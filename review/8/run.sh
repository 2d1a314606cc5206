#!/bin/sh
# Plays case 8; TROUBLE=0 leaves the disruption out. Exit status: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/second silent-backend review/8
