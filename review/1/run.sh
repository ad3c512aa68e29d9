#!/usr/bin/env bash
# The settings files change while the system runs: `graceS` from 8 to 8.5. Later all processes
# are killed at the same moment and started again with the settings in effect at that moment.
#
# Exit codes: 1 the rule RECOVER was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves out the change of the settings; the rest is the same.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."

trouble="${TROUBLE:-1}"
bin=target/release
record="$here/record.txt"
work="$(mktemp -d)"
vms=(vm-1 vm-2 vm-3)
recover_s=12        # bounds.recoverS of the small site
restart_delay_s=0.5 # the platform starts an ended process again after a short delay
declare -A pids=() taken=() callers=() balancers=() peer_ports=()
: >"$record"

note() { printf '%s %s\n' "$(date +%H:%M:%S.%3N)" "${*//"$work"/WORK}" | tee -a "$record"; }

cleanup() {
    for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap cleanup EXIT
give_up() { note "the case could not run: $1"; exit 2; }

# address NAME FIELD: an address from the first line of a process.
address() { sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$work/$1.out" | head -n 1; }

# free_port: sets `port` to a port of the loopback address on which nothing listens.
free_port() {
    while :; do
        port=$((20000 + RANDOM % 10000))
        [ -z "${taken[$port]:-}" ] || continue
        (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue
        taken[$port]=1
        return
    done
}

# fill NAME GRACE: the platform fills in the template of the settings.
fill() {
    sed -e "s/{{nodeName}}/$1/; s/{{zone}}/north/" \
        -e "s/{{ip}}:{{portRange.0}}/127.0.0.1:${peer_ports[$1]}/" \
        -e "s/{{ip}}:{{portRange.1}}/127.0.0.1:0/" \
        -e "s/{{listen.frontend}}/${callers[$1]}/; s/{{listen.ready}}/${balancers[$1]}/" \
        -e "s/{{platform.address}}/$store/" \
        -e "s/{{bounds.leaseMs}}/3000/; s/{{bounds.graceS}}/$2/" \
        -e "s/{{bounds.retryBudgetRatio}}/0.2/; s/{{bounds.retrySlack}}/52/" \
        -e "s/{{bounds.quotaSlack}}/17000/; s/{{bounds.quotaWindowS}}/8/" \
        -e "s/{{bounds.quotaOverage}}/0.1/" \
        platform/settings.yaml >"$work/$1.new" && mv "$work/$1.new" "$work/$1.yaml"
}

start_vm() {
    : >"$work/$1.out"
    "$bin/primroseplankd" --relay --settings "$work/$1.yaml" >"$work/$1.out" 2>"$work/$1.err" &
    pids[$1]=$!
}

wait_ready() {
    for _ in $(seq 100); do
        "$bin/standin" call "${balancers[$1]}" GET /primroseplank/readyz \
            >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    return 1
}

# send PHASE COUNT: sends bookings to the VMs in turn; sets `served`.
send() {
    served=0
    local number name id answer
    for number in $(seq "$2"); do
        name="${vms[$((number % ${#vms[@]}))]}"
        id="$1-$number"
        answer="$(timeout 3 "$bin/standin" call "${callers[$name]}" POST /book/stay \
            --header 'Host: trips.example' --header "Attempt-Id: $id" \
            --header 'Deadline-Ms: 1500' --header 'Authorization: Bearer key-1' \
            --body '{"family":"host-7"}' 2>&1 | tr '\r\n' '  ')"
        if [[ "$answer" == 200* && "$answer" == *'did /book/stay'* ]]; then
            served=$((served + 1))
        fi
        note "sent $id to $name; answered: ${answer:0:120}"
    done
    note "$1: $served of $2 served"
}

for program in primroseplankd platform-standin standin; do
    [ -x "$bin/$program" ] || give_up "$bin/$program is not built"
done
"$bin/platform-standin" >"$work/site.out" 2>"$work/site.err" &
pids[site]=$!
for _ in $(seq 100); do [ -s "$work/site.out" ] && break; sleep 0.05; done
store="$(address site store)"
[ -n "$store" ] || give_up 'the stand-in of the platform did not start'

for name in "${vms[@]}"; do
    free_port; callers[$name]="127.0.0.1:$port"
    free_port; balancers[$name]="127.0.0.1:$port"
    free_port; peer_ports[$name]="$port"
    fill "$name" 8
    start_vm "$name"
done
for name in "${vms[@]}"; do
    for _ in $(seq 100); do [ -s "$work/$name.out" ] && break; sleep 0.05; done
    wait_ready "$name" || give_up "$name did not become ready"
done
send before 20
before=$served
[ "$before" -ge 5 ] || give_up 'less than a quarter was served before the fault'

if [ "$trouble" != 0 ]; then
    note 'the settings files change, without a signal: graceS from 8 to 8.5'
    for name in "${vms[@]}"; do fill "$name" 8.5; done
    sleep 1
fi
send changed 10

note 'all processes of the system are killed'
for name in "${vms[@]}"; do kill -KILL "${pids[$name]}"; wait "${pids[$name]}" 2>/dev/null; done
sleep "$restart_delay_s"
note 'all processes of the system are started again'
for name in "${vms[@]}"; do start_vm "$name"; done
declare -A starts=()
end=$((SECONDS + recover_s + 1))
while [ "$SECONDS" -lt "$end" ]; do
    sleep "$restart_delay_s"
    for name in "${vms[@]}"; do
        kill -0 "${pids[$name]}" 2>/dev/null && continue
        wait "${pids[$name]}" 2>/dev/null
        code=$?
        starts[$name]=$((${starts[$name]:-0} + 1))
        if [ "${starts[$name]}" -le 2 ]; then
            note "$name ended by itself with exit code $code: $(head -c 300 "$work/$name.err")"
        fi
        start_vm "$name"
    done
done
for name in "${vms[@]}"; do note "$name: ended by itself ${starts[$name]:-0} times"; done
send after 20

if [ $((served * 4)) -lt 20 ]; then
    note "RECOVER broken: $served of 20 served later than $recover_s s after the start, $before of 20 before"
    exit 1
fi
note "RECOVER held: $served of 20 served later than $recover_s s after the start"
exit 0
