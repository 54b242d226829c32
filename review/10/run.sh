#!/usr/bin/env bash
# A worker spoils the length of one in 50 of its answers. With TROUBLE=0 it spoils none.
# Exits with 1 if MIXED was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
bin=target/review-2
work=$(mktemp -d)
. review/standins-3/gateway.sh
trap 'stop_gateway; rm -rf "$work"' EXIT

[ -x "$bin/spoiltlength" ] && [ -x target/bin/bluebell-gateway ] || { echo "not built"; exit 2; }
record=$here/record.txt
: > "$record"
mapfile -t ports < <("$bin/ports" 7)
[ "${#ports[@]}" = 7 ] || exit 2
write_settings "$work/node.json" "${ports[0]}" "${ports[1]}" "${ports[2]}" "${ports[3]}" "${ports[4]}"
start_gateway "$work/node.json"
spoilt=50
[ "${TROUBLE:-1}" = 0 ] && spoilt=0
timeout 90 "$bin/spoiltlength" "${ports[4]}" "${ports[5]}" "${ports[6]}" "${ports[0]}" "${ports[1]}" "$spoilt" "$record"
result=$?
tail -n 1 "$record"
[ "$result" -le 1 ] || exit 2
exit "$result"
