#!/bin/bash
# Plays one case: play.sh CASE N, from the root of the repository. It exits with 1 if the rule was broken, 0 if it held, 2
# if the case couldn't run. Whatever ends it, the stand-ins end, the system ends the router with them, and the temporary
# folder goes.
set -u
if [ ! -x bin/martenlock ] || [ ! -x review/standins-2/bin/judge ]; then
	echo "build first: the line build of deploy/balancer.toml, then review/build-2.sh" >&2
	exit 2
fi
temp=$(mktemp -d) || exit 2
child=
cleanup() {
	if [ -n "$child" ]; then
		kill "$child" 2>/dev/null
		wait "$child" 2>/dev/null
	fi
	rm -rf "$temp"
}
trap cleanup EXIT
trap 'exit 2' INT TERM HUP
TMPDIR=$temp review/standins-2/bin/judge "$1" "review/$2" &
child=$!
wait "$child"
code=$?
child=
[ "$code" -le 1 ] || code=2
exit "$code"
