#!/bin/sh
# A second answer of an engine reaches another client. See claim.txt.
exec sh "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" second-answer
