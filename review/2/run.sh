#!/usr/bin/env bash
# A VM is stopped as planned work while it forwards streams that end well before the last
# sixth of `graceS`, which is 3 here.
#
# Exit codes: 1 the rule LOST was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 sends no SIGTERM; the rest is the same. GRACE=N sets another `graceS`.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."

trouble="${TROUBLE:-1}"
grace="${GRACE:-3}"
bin=target/release
record="$here/record.txt"
work="$(mktemp -d)"
vms=(vm-1 vm-2)
streams=4     # the slots of one engine
tokens=334    # an engine of the stand-in makes two tokens in 15 ms: some 2.5 s
declare -A pids=() taken=() callers=() balancers=() peer_ports=()
: >"$record"

note() { printf '%s %s\n' "$(date +%H:%M:%S.%3N)" "${*//"$work"/WORK}" | tee -a "$record"; }
now_ms() { date +%s%3N; }

cleanup() {
    for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap cleanup EXIT
give_up() { note "the case could not run: $1"; exit 2; }

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

# start_vm NAME: the platform fills in the template of the settings and starts the process.
start_vm() {
    sed -e "s/{{nodeName}}/$1/; s/{{zone}}/north/" \
        -e "s/{{ip}}:{{portRange.0}}/127.0.0.1:${peer_ports[$1]}/" \
        -e "s/{{ip}}:{{portRange.1}}/127.0.0.1:0/" \
        -e "s/{{listen.frontend}}/${callers[$1]}/; s/{{listen.ready}}/${balancers[$1]}/" \
        -e "s/{{platform.address}}/$store/" \
        -e "s/{{bounds.leaseMs}}/3000/; s/{{bounds.graceS}}/$grace/" \
        -e "s/{{bounds.retryBudgetRatio}}/0.2/; s/{{bounds.retrySlack}}/52/" \
        -e "s/{{bounds.quotaSlack}}/17000/; s/{{bounds.quotaWindowS}}/8/" \
        -e "s/{{bounds.quotaOverage}}/0.1/" \
        platform/settings.yaml >"$work/$1.yaml"
    "$bin/primroseplankd" --relay --settings "$work/$1.yaml" >"$work/$1.out" 2>"$work/$1.err" &
    pids[$1]=$!
}

wait_ready() {
    for _ in $(seq 100); do
        "$bin/standin" call "${balancers[$1]}" GET /primroseplank/readyz >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    return 1
}

# stream NUMBER: sends one stream to vm-1 and writes when and how it ended.
stream() {
    local code
    "$bin/standin" call "${callers[vm-1]}" POST /draft/x --header 'Host: trips.example' \
        --header "Attempt-Id: draft-$1" --header 'Deadline-Ms: 5000' --header 'Model: alpha' \
        --header "Token-Usage: 100,$tokens" --header 'Authorization: Bearer key-1' \
        --body 'A welcome letter' >"$work/stream-$1.txt" 2>&1
    code=$?
    echo "$code $(now_ms)" >"$work/stream-$1.end"
}

for program in primroseplankd platform-standin standin; do
    [ -x "$bin/$program" ] || give_up "$bin/$program is not built"
done
"$bin/platform-standin" >"$work/site.out" 2>"$work/site.err" &
pids[site]=$!
for _ in $(seq 100); do [ -s "$work/site.out" ] && break; sleep 0.05; done
store="$(sed -n 's/.*"store":"\([^"]*\)".*/\1/p' "$work/site.out" | head -n 1)"
[ -n "$store" ] || give_up 'the stand-in of the platform did not start'
for name in "${vms[@]}"; do
    free_port; callers[$name]="127.0.0.1:$port"
    free_port; balancers[$name]="127.0.0.1:$port"
    free_port; peer_ports[$name]="$port"
    start_vm "$name"
done
for name in "${vms[@]}"; do wait_ready "$name" || give_up "$name did not become ready"; done
sleep 1

note "graceS $grace; $streams streams of $tokens tokens are sent to vm-1"
clients=()
for number in $(seq "$streams"); do stream "$number" & clients+=($!); done
sleep 0.2
stop_ms="$(now_ms)"
if [ "$trouble" != 0 ]; then
    note 'vm-1 gets SIGTERM'
    kill -TERM "${pids[vm-1]}"
fi
# All streams end before graceS is over, so the platform's SIGKILL is left to `cleanup`.
wait "${clients[@]}"

lost=0
events=$((tokens / 2))
for number in $(seq "$streams"); do
    read -r code end_ms <"$work/stream-$number.end"
    after=$((end_ms - stop_ms))
    got="$(grep -c '^data: ' "$work/stream-$number.txt")"
    last="$(tail -n 1 "$work/stream-$number.txt" | head -c 160)"
    if [ "$code" -eq 0 ] && [ "$got" -ge "$events" ]; then
        outcome=complete
    else
        outcome='cut off'
        # Nothing is counted whose runner was still at work in the last sixth of graceS.
        [ "$after" -lt $((grace * 1000 * 5 / 6)) ] && lost=$((lost + 1))
    fi
    note "draft-$number: $got of $events events, $outcome $after ms after the signal; exit code $code; last line: $last"
done
note "vm-1: $(grep '"step":"stop"' "$work/vm-1.out" | cut -c 1-220 | tr '\n' ' ')"
if [ "$lost" -gt 0 ]; then
    note "LOST broken: $lost of $streams streams ended without a complete answer under planned work only"
    exit 1
fi
note 'LOST held'
exit 0
