#!/usr/bin/env bash
# Runs a small fleet on loopback and sends requests to it; `make demo` sets
# PATH and PYTHONPATH. The exit status is 0 only if every step succeeds.
set -euo pipefail
cd "$(dirname "$0")/.."

python=$(command -v python || command -v python3)
ctl() { "$python" -m turmericrouter_operator "$@"; }
call() { "$python" demo/call.py "$@"; }
step() { printf '\n== %s\n' "$*"; }

work=$(mktemp -d)
chmod 700 "$work"
network=$("$python" -c '
from turmericrouter_standins.fleet import choose_network
print(choose_network())')
log_ip=127.$network.0.1
export TURMERIC_LOG_URL=http://$log_ip:8080
daemons=()
others=()

finish() {
    status=$?
    trap - EXIT
    if [ "$status" -ne 0 ]; then
        echo "demo failed; last lines of each process:" >&2
        tail -n 5 "$work"/*.log >&2 || true
    fi
    for pid in "${daemons[@]}" "${others[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
    exit "$status"
}
trap finish EXIT

# Starts a daemon and a target. Arguments: failure domain, index of the domain,
# index of the host, service.
start_host() {
    local domain=$1 ip=127.$network.$2.$3 service=$4
    local name=$service-$domain
    # Short waits of new quota holders let the demo start without delay.
    cat >"$work/$name.toml" <<TOML
[host]
ip = "$ip"
domain = "$domain"
entry_port = 8001
peer_port = 8002
local_port = 8003
local_ip = "$ip"
admin_port = 8004
[platform]
log_url = "$TURMERIC_LOG_URL"
[quota]
fence_after_s = 2.0
max_pause_s = 1.0
takeover_after_s = 10.0
TOML
    "$python" -m turmericrouter_daemon "$work/$name.toml" \
        >"$work/daemon-$name.log" 2>&1 &
    daemons+=($!)
    "$python" -m turmericrouter_standins.target --host "$ip" --port 8000 \
        --name "$name" --service "$service" --daemon "http://$ip:8003" --ledger "$work/$name.ledger" \
        >"$work/target-$name.log" 2>&1 &
    others+=($!)
}

step 'Start the log stand-in, and two services in two failure domains'
"$python" -m turmericrouter_standins.log_service --host "$log_ip" \
    --port 8080 >"$work/log-service.log" 2>&1 &
others+=($!)
start_host north 1 1 design
start_host north 1 2 treasury
start_host south 2 1 design
start_host south 2 2 treasury
north=http://127.$network.1.1:8001
south=http://127.$network.2.2:8001
export TURMERIC_DAEMONS=127.$network.1.1:8004

step 'Publish a configuration made with the builder'
"$python" demo/configuration.py >"$work/config.toml" 2>"$work/keys"
cat "$work/config.toml"
DEMO_KEY=$(sed -n 's/.*: \(tmk_.*\)/\1/p' "$work/keys")
export DEMO_KEY
# The fleet is up when each entry has answered a request.
published=
for _ in $(seq 40); do
    if ctl config publish "$work/config.toml" 2>"$work/publish.log"; then
        published=yes
        break
    fi
    sleep 0.25
done
[ -n "$published" ]
call "$north/catalogue/1" --within-s 25 >/dev/null
call "$south/catalogue/1" --within-s 25 >/dev/null
ctl target list

step 'Send requests of several importances through two entries'
call "$north/catalogue/floor-12" --within-s 5
call "$south/commission/77" --within-s 5
call "$south/deposit/77" --once --within-s 25

step 'A request without a key is refused, and says that it was not run'
DEMO_KEY='' call "$north/catalogue/floor-12" --expect '401 not-run key-missing'

step 'Withdraw the key, wait until it is in force, and try it again'
printf '%s\n' "$DEMO_KEY" | ctl key withdraw --stdin --wait 10
call "$north/catalogue/floor-12" --expect '401 not-run key-withdrawn'
call "$south/commission/77" --expect '401 not-run key-withdrawn'

step 'Grant a new key'
ctl key grant mosaic --label tablets --wait 10 >"$work/grant"
sed 's/^key: .*/key: (not shown here)/' "$work/grant"
DEMO_KEY=$(sed -n 's/^key: //p' "$work/grant")
call "$north/catalogue/floor-12" --within-s 5

step 'Stop all daemons while a request is in flight'
call "$north/catalogue/slow?work_ms=1500" >"$work/slow" &
slow=$!
sleep 0.5
for pid in "${daemons[@]}"; do kill -TERM "$pid"; done
wait "$slow"
cat "$work/slow"
for pid in "${daemons[@]}"; do
    wait "$pid"
done
echo '  all daemons ended with status 0'
for pid in "${others[@]}"; do kill -TERM "$pid"; done
for pid in "${others[@]}"; do wait "$pid" || true; done
daemons=()
others=()
step 'Done'
