#!/usr/bin/env bash
# Another writer adds a copy of a worker's entry whose key ends with a line feed. With TROUBLE=0 it adds none.
# Exits with 1 if UNASKED was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../../.."
bin=target/review-2
work=$(mktemp -d)
. review/standins-3/gateway.sh
trap 'stop_gateway; rm -rf "$work"' EXIT

[ -x "$bin/lineend" ] && [ -x target/bin/bluebell-gateway ] || { echo "not built"; exit 2; }
record=$here/record.txt
: > "$record"
mapfile -t ports < <("$bin/ports" 6)
[ "${#ports[@]}" = 6 ] || exit 2
write_settings "$work/node.json" "${ports[0]}" "${ports[1]}" "${ports[2]}" "${ports[3]}" "${ports[4]}"
entry=extra
[ "${TROUBLE:-1}" = 0 ] && entry=none
start_gateway "$work/node.json"
timeout 90 "$bin/lineend" "${ports[4]}" "${ports[5]}" "${ports[0]}" "${ports[1]}" "$entry" "$record"
result=$?
tail -n 1 "$record"
[ "$result" -le 1 ] || exit 2
exit "$result"
