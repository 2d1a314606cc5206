#!/bin/sh
# Builds the program that plays the cases of the second review into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/second
