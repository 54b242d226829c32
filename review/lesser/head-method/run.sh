#!/usr/bin/env bash
# A client asks with HEAD, then with GET on the same kept connection. With TROUBLE=0 it asks with GET both times.
# Exits with 1 if bytes arrived that are no answer, 0 if not, 2 if the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../../.."
bin=target/review-2
work=$(mktemp -d)
. review/standins-3/gateway.sh
trap 'stop_gateway; rm -rf "$work"' EXIT

[ -x "$bin/headclient" ] && [ -x target/bin/bluebell-gateway ] || { echo "not built"; exit 2; }
record=$here/record.txt
: > "$record"
mapfile -t ports < <("$bin/ports" 6)
[ "${#ports[@]}" = 6 ] || exit 2
write_settings "$work/node.json" "${ports[0]}" "${ports[1]}" "${ports[2]}" "${ports[3]}" "${ports[4]}"
method=HEAD
[ "${TROUBLE:-1}" = 0 ] && method=GET
start_gateway "$work/node.json"
timeout 60 "$bin/headclient" "${ports[4]}" "${ports[5]}" "${ports[0]}" "${ports[1]}" "$method" "$record"
result=$?
tail -n 1 "$record"
[ "$result" -le 1 ] || exit 2
exit "$result"
