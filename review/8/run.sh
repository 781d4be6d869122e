#!/bin/bash
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays it without the
# disruption. It needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/martenlock ] || [ ! -x review/standins-2/bin/judge ]; then
	echo "build first: the line build of deploy/balancer.toml, then review/build-2.sh" >&2
	exit 2
fi
exec review/standins-2/bin/judge refused-after-run review/8
