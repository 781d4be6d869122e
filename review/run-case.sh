#!/bin/sh
# Runs one case: run-case.sh FOLDER CASE. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the case without its disruption. The stand-ins start the router and end it; if they are ended early, the
# system ends the router with them.
set -u
folder=$(cd "$1" && pwd) || exit 2
review=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(dirname "$review")
if [ ! -x "$root/bin/martenlock" ]; then
	echo "bin/martenlock is missing: run the line build of deploy/balancer.toml first" >&2
	exit 2
fi
[ -x "$review/bin/standins" ] || sh "$review/build.sh" || exit 2
temp=$(mktemp -d) || exit 2
child=
cleanup() {
	[ -z "$child" ] || kill "$child" 2>/dev/null
	rm -rf "$temp"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
timeout -k 3 110 "$review/bin/standins" "$2" "$root" "$folder/record.txt" "$temp" &
child=$!
wait "$child"
code=$?
child=
[ "$code" -le 1 ] || code=2
exit "$code"
