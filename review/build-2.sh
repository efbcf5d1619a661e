#!/bin/sh
# Builds every stand-in that the scripts of cases 6 to 10 start, into bin/. It needs no network once
# the deploy file has been built.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/ ./standin/platform
cd review/stand-2
go build -o ../../bin/stand-2 .
