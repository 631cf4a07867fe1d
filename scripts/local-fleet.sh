# Functions to start a fleet on loopback; sourced by the demonstration and the measurements. Sets `work`, a
# temporary directory. When the script exits, all processes started here are ended and `work` is removed.
build=$PWD/${BUILD_DIR:-build}
work=$(mktemp -d)
pids=()
stop_fleet() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop_fleet EXIT
# start LOG COMMAND...: runs the command in the background, with its output in $work/LOG.
start() { local log=$1; shift; "$@" >"$work/$log" 2>&1 & pids+=($!); }
# await COMMAND...: repeats the command until it succeeds, at most 300 times with pauses of 0.1 s.
await() {
    for _ in $(seq 300); do if "$@" >/dev/null 2>&1; then return; fi; sleep 0.1; done
    echo "timed out waiting for success of: $*" >&2
    exit 1
}
# The secrets and keys in this file are for fleets on loopback only.
secret=demonstration-operator-secret
export PARSLEYTACK_SERVER=127.0.0.1:17301 PARSLEYTACK_OPERATOR_SECRET=$secret
operator() { "$build/src/tools/parsleytack/parsleytack" "$@"; }

# start_databases LAG_MS: starts three database stand-ins with 2 execution slots, at most 15 connections and
# the given replication lag each.
start_databases() {
    local i j peers
    for i in 1 2 3; do
        peers=()
        for j in 1 2 3; do [ "$i" = "$j" ] || peers+=(--peer "127.0.0.1:1710$j"); done
        start "database$i.log" "$build/tests/standins/database/databasestandin" --address "127.0.0.1:1710$i" \
            --name "register-$i" --initial-primary 127.0.0.1:17101 "${peers[@]}" --limit 15 --slots 2 \
            --setup-ms 10 --lag-ms "$1"
    done
}

zone_of_host() { echo "zone-$(($1 == 1 ? 1 : 2))"; }

# start_hosts COUNT [RATE]: starts and registers up to 9 hosts; RATE is the fraction of traces that are logged
# (default 0.01). Sets `host_pids`.
start_hosts() {
    local i
    for i in $(seq "$1"); do
        cat >"$work/host$i.json" <<JSON
{"host": "host-$i", "zone": "$(zone_of_host "$i")", "callers": "127.0.0.1:1720$i",
 "operators": "127.0.0.1:1730$i", "peers": "127.0.0.1:1740$i", "store": "127.0.0.1:17001",
 "seeds": ["127.0.0.1:17401", "127.0.0.1:17402", "127.0.0.1:17403"], "traceSampleRate": ${2:-0.01},
 "fleetSecret": "demonstration-fleet-secret-of-32-bytes", "operatorSecret": "$secret",
 "curvePublicKey": "Yne@\$w-vo<fVvi]a<NY6T1ed:M\$fCG*[IaLV{hID",
 "curveSecretKey": "D:)Q[IlAW!ahhC2ac:9*A}h:p?([4%wOTJ%JR%cs"}
JSON
        start "host$i.log" "$build/src/tools/parsleytackd/parsleytackd" --settings "$work/host$i.json"
        host_pids[$i]=$!
    done
    await curl -sf 127.0.0.1:17301/healthz
    for i in $(seq "$1"); do
        curl -sf -X PUT "127.0.0.1:17001/hosts/host-$i" -d "{\"name\":\"host-$i\",
            \"address\":\"127.0.0.1:1740$i\",\"zone\":\"$(zone_of_host "$i")\",\"state\":\"live\"}" >/dev/null
    done
}
declare -A host_pids

start_platform() {
    start platform.log "$build/tests/standins/platform/platformstandin" --address 127.0.0.1:17001
}

# await_ready COUNT: waits until the hosts report that they are ready.
await_ready() { local i; for i in $(seq "$1"); do await curl -sf "127.0.0.1:1730$i/readyz"; done; }
# grant_key CUSTOMER NAME: grants a key and prints it.
grant_key() { operator key grant "$1" "$2" --output json | sed -n 's/.*"key": *"\(.*\)".*/\1/p'; }
# await_service KEY: waits until a read succeeds. Hosts open their first connections and acquire the quota
# slots during the first seconds.
await_service() {
    await curl -sf -X POST 127.0.0.1:17201/v1/register/statement -H "Authorization: Bearer $1" \
        -d '{"sql":"GET none"}'
}
