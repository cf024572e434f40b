#!/bin/sh
exec "$(dirname "$0")/../lib-2/run-case" "$(dirname "$0")"
