# Functions for the batch tests; to be sourced.
# shellcheck shell=bash
. "$(dirname "${BASH_SOURCE[0]}")/../../scripts/measure.sh"

# Starts a deployment with short leases, so that several of them expire or are
# renewed during a test.
start_batch_cluster() {
    start_cluster --entries 1 --agents 3 --agent-set lease_ms=3000 \
        --agent-set claim_silence_ms=1000 --agent-set rank_ms=300 \
        --agent-set append_timeout_ms=1000 "$@"
    touch "$cluster/saved"
}

cluster_do() { "$root/scripts/localcluster" "$1" "$cluster" "${@:2}"; }

# save_stats worker-N: keeps the statistics of a worker that is to be killed
save_stats() {
    local -n url=WORKER_${1#worker-}
    curl -fsS -m 5 "$url/standin/stats" >>"$cluster/saved"
}

# put_job ID [RUN_MS]: submits a job and prints the HTTP status
put_job() {
    curl -sS -m 10 -o /dev/null -w '%{http_code}' -X PUT "$ENTRY_1/jobs/$1" -d \
        "{\"team\":\"t\",\"class\":\"c\",\"cpu_milli\":7000,\"memory_mb\":1000,
          \"run_ms\":${2:-1500},\"checkpoint_ms\":100}"
}

# submit_jobs PREFIX COUNT [RUN_MS]: submits PREFIX-1 to PREFIX-COUNT
submit_jobs() {
    local i
    for i in $(seq "$2"); do
        [ "$(put_job "$1-$i" "${3:-}")" = 201 ] || { echo "job $1-$i was not accepted with status 201"; return 1; }
    done
}

# job_field ID KEY: prints a field of the job
job_field() {
    curl -fsS -m 2 "$ENTRY_1/jobs/$1" | tr ',{}' '\n' | sed -n "s/^\"$2\": *//p" | tr -d '"'
}

job_is() { [ "$(job_field "$1" state)" = "$2" ]; }

# Prints the name of the agent that is the coordinator, or nothing.
coordinator() {
    curl -fsS -m 2 "$ENTRY_1/admin/jobs" | tr ',{}' '\n' |
        sed -n 's/^"coordinator": *"\(.*\)"/\1/p'
}

has_coordinator() { [ -n "$(coordinator)" ]; }

# await_jobs PREFIX COUNT: waits until the jobs are done
await_jobs() {
    local i
    for i in $(seq "$2"); do
        wait_until 60 job_is "$1-$i" done || {
            echo "job $1-$i is not done: $(curl -sS -m 2 "$ENTRY_1/jobs/$1-$i")"
            tail -n 15 "$cluster"/logs/agent-*.log
            return 1
        }
    done
}

# Prints the statistics of all workers, and those that save_stats kept.
all_stats() {
    local url
    cat "$cluster/saved"
    for url in $WORKER_1 $WORKER_2 $WORKER_3; do
        curl -fsS -m 5 "$url/standin/stats"
    done
}

# check_runs: fails if two runs of a job overlap or an effect is published twice
check_runs() {
    all_stats | sed 's/{ "job_id"/\n&/g' | awk -F'"' '
        /^{ "job_id"/ {
            job = $4
            split($0, parts, "\"effects\": ")
            effects[job] += parts[2] + 0
            sub(/.*"runs": \[/, "")
            sub(/\] *\].*/, "")
            gsub(/[^0-9 ]/, " ")
            n = split($0, times, " ")
            for (i = 1; i + 1 <= n; i += 2)
                runs[job] = runs[job] " " times[i] " " times[i + 1]
        }
        END {
            for (job in runs) {
                n = split(runs[job], t, " ")
                for (i = 1; i < n; i += 2)
                    for (k = i + 2; k < n; k += 2)
                        if (t[i] < t[k + 1] && t[k] < t[i + 1]) {
                            print "job " job " has overlapping runs:" runs[job]
                            bad = 1
                        }
                if (effects[job] > 1) {
                    print "job " job " published " effects[job] " effects"
                    bad = 1
                }
                jobs++
                published += effects[job]
            }
            print jobs " jobs, " published " effects"
            exit bad
        }'
}

now_ms() { date +%s%3N; }
