# Functions for benchmarks and system tests; to be sourced.
# shellcheck shell=bash

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${BUILD_DIR:-$root/build}
[[ $build = /* ]] || build=$root/$build
export BUILD_DIR=$build
base_port=$((${TEST_PORT_BASE:-20000} + 600))
cluster=

# start_cluster OPTIONS...: starts a deployment that is stopped when the script
# exits; OPTIONS are those of localcluster up
start_cluster() {
    cluster=$(mktemp -d)
    trap stop_cluster EXIT
    "$root/scripts/localcluster" up "$cluster" --base-port "$base_port" "$@" \
        >/dev/null
    # shellcheck disable=SC1091
    . "$cluster/env"
}

# Stops the deployment; keeps its directory with the logs if the script failed.
stop_cluster() {
    local status=$?
    trap - EXIT
    [ -n "$cluster" ] || return 0
    "$root/scripts/localcluster" down "$cluster" || true
    if [ $status = 0 ]; then
        rm -rf "$cluster"
    else
        echo "failed with status $status; logs in $cluster/logs" >&2
    fi
    cluster=
}

# urls PREFIX: prints the addresses PREFIX_1, PREFIX_2, ... as IP:PORT,IP:PORT,...
urls() { sed -n "s|^$1_[0-9]*=http://||p" "$cluster/env" | paste -sd,; }

# fault URL JSON: sets faults of a stand-in
fault() { curl -fsS -m 5 -o /dev/null -d "$2" "$1/standin/fault"; }

# fault_all PREFIX JSON: sets faults of all stand-ins of a kind
fault_all() {
    local url
    for url in $(sed -n "s|^$1_[0-9]*=||p" "$cluster/env"); do
        fault "$url" "$2"
    done
}

# sum_stat PREFIX KEY: prints the sum of a statistic over all stand-ins of a kind
sum_stat() {
    local url
    for url in $(sed -n "s|^$1_[0-9]*=||p" "$cluster/env"); do
        curl -fsS -m 5 "$url/standin/stats" | tr ',{}' '\n' |
            sed -n "s/^ *\"$2\": *//p"
    done | awk '{sum += $1} END {print sum + 0}'
}

load() { "$build/loadgen" "$@"; }

# field KEY: prints a value of the load generator's report on standard input, or 0
field() {
    tr ',{}' '\n' | sed -n "s/^ *\"$1\": *//p" | grep . || echo 0
}

# summary [FORMAT]: prints the median and the range of the numbers on standard
# input
summary() {
    sort -g | awk -v format="${1:-%.2f}" '{v[NR] = $1} END {
        m = NR % 2 ? v[(NR + 1) / 2] : (v[NR / 2] + v[NR / 2 + 1]) / 2
        printf format " (" format " to " format ")\n", m, v[1], v[NR]}'
}

# calc EXPRESSION [FORMAT]
calc() { awk "BEGIN {printf \"${2:-%.3f}\", $1}"; }

pid_of() { cat "$cluster/pids/$1"; }

# cpu_ns PID, rss_kib PID, io_bytes PID: processor time in ns, resident memory in
# KiB, bytes read and written since the start of the process
cpu_ns() { cut -d' ' -f1 "/proc/$1/schedstat"; }
rss_kib() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
io_bytes() { awk '/^[rw]char/ {sum += $2} END {print sum}' "/proc/$1/io"; }

# wait_until SECONDS COMMAND...: repeats the command until it succeeds; fails
# after SECONDS
wait_until() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.05
    done
}

describe_machine() {
    echo "$(date -u +%Y-%m-%dT%H:%MZ), $(nproc) processors" \
        "($(awk -F': ' '/model name/ {print $2; exit}' /proc/cpuinfo))," \
        "load average $(cut -d' ' -f1-3 /proc/loadavg)," \
        "commit $(git -C "$root" rev-parse --short HEAD)"
}
