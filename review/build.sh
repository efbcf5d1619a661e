#!/bin/sh
# Builds the stand-ins that the review's scripts start: the project's store and the review's own.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/platform ./standin/platform
cd review
go build -o bin/stand ./stand
