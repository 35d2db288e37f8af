/* Open-loop load generator. Arrivals are a Poisson process and service times
   are random with the given seed, so that runs with the same seed offer the
   same load. Latency is measured from the intended send time, so that a late
   send does not hide queueing. */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/http_client.h"
#include "results.h"

enum {
    MAX_RESPONSE_BYTES = 1024 * 1024,
    MAX_CONNECTIONS = 4096,
    HEALTH_TIMEOUT_MS = 1000,
    MAX_LATE_US = 5000,
    DRAIN_MS = 15000,
};

typedef struct target {
    const char *address;
    http_client_t *client;
    bool healthy;
    bool probing;
} target_t;

typedef struct request {
    int64_t intended_us;
    uint64_t number;
} request_t;

static char *option_targets;
static char *option_path = "/svc/bench/x";
static char *option_method = "GET";
static char *option_name = "load";
static char *option_service = "exp";
static char *option_timeline;
static char **option_headers;
static double option_rate = 1000;
static double option_seconds = 5;
static double option_warmup;
static double option_service_ms;
static int64_t option_seed = 1;
static int64_t option_body;
static int64_t option_timeout_ms = 10000;
static int64_t option_health_ms;
static gboolean option_no_bursts;

results_t results;

static loop_t *loop;
static target_t *targets;
static size_t target_count;
static http_header_t *headers; /* the first one is the request id */
static size_t header_count;
static char *body;
static uint64_t random_state;
static int64_t start_us;
static loop_timer_t health_timer;

static int64_t
get_now_us(void)
{
    return timespec_to_us(clock_get_monotonic(clock_system()));
}

/* Returns a uniform random number in (0, 1], from splitmix64. */
static double
draw_uniform(void)
{
    uint64_t z = (random_state += 0x9e3779b97f4a7c15ULL);

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    z ^= z >> 31;
    return ((double)(z >> 11) + 1) / 9007199254740992.0;
}

static slot_t *
get_slot(int64_t at_us)
{
    guint index = (guint)(MAX(at_us - start_us, 0) / (SLOT_MS * 1000));

    if (index >= results.slots->len) {
        g_array_set_size(results.slots, index + 1);
    }
    return &g_array_index(results.slots, slot_t, index);
}

static bool
is_rejected(const http_response_t *response)
{
    const char *executed = strstr(response->body, "\"executed\"");

    return executed != NULL && strstr(executed, "\"no\"") != NULL;
}

static void
count_failure(const http_response_t *response, slot_t *slot,
              uint64_t latency_us)
{
    if (!response->ok) {
        results.errors[response->kind]++;
    }
    else {
        results.statuses[CLAMP(response->status, 0, STATUS_COUNT - 1)]++;
        if (is_rejected(response)) {
            results.executed_no++;
            slot->rejected++;
            histogram_add(&results.rejected_latency, latency_us);
            return;
        }
        results.executed_unknown +=
            strstr(response->body, "\"executed\"") != NULL;
    }
    slot->unknown++;
    histogram_add(&results.other_latency, latency_us);
}

static void
count_answer(const http_response_t *response, int64_t intended_us)
{
    uint64_t latency_us = (uint64_t)MAX(get_now_us() - intended_us, 0);
    slot_t *slot = get_slot(get_now_us());

    results.measured++;
    if (!response->ok || response->status / 100 != 2) {
        count_failure(response, slot, latency_us);
        return;
    }
    results.statuses[response->status]++;
    histogram_add(&results.ok_latency, latency_us);
    slot->ok++;
    if (slot->latency == NULL) {
        slot->latency = g_new0(histogram_t, 1);
    }
    histogram_add(slot->latency, latency_us);
}

static void
on_answer(const http_response_t *response, void *data)
{
    request_t *request = data;
    int64_t warmup_end_us = start_us + (int64_t)(option_warmup * 1e6);

    results.completed++;
    if (request->intended_us >= warmup_end_us) {
        count_answer(response, request->intended_us);
    }
    g_free(request);
}

static http_client_t *
choose_healthy_client(void)
{
    size_t first =
        (size_t)(draw_uniform() * (double)target_count) % target_count;

    for (size_t i = 0; i < target_count; i++) {
        target_t *target = &targets[(first + i) % target_count];

        if (target->healthy) {
            return target->client;
        }
    }
    results.unhealthy++;
    return targets[first].client;
}

static void
send_request(int64_t intended_us)
{
    request_t *request = g_new0(request_t, 1);
    double service_ms = option_service_ms;
    g_autofree char *target = NULL;
    char id[96];
    http_call_opts_t opts = {
        .method = option_method,
        .headers = headers,
        .header_count = header_count,
        .body = body,
        .body_length = (size_t)option_body,
        .timeout_ms = (uint64_t)option_timeout_ms,
        .max_response = MAX_RESPONSE_BYTES,
    };

    if (strcmp(option_service, "exp") == 0) {
        service_ms *= -log(draw_uniform());
    }
    target = option_service_ms > 0
                 ? g_strdup_printf("%s?ms=%.3f", option_path, service_ms)
                 : g_strdup(option_path);
    snprintf(id, sizeof(id), "%s-%" G_GINT64_FORMAT "-%" G_GUINT64_FORMAT,
             option_name, option_seed, (guint64)results.sent);
    headers[0].value = id;
    opts.target = target;
    request->intended_us = intended_us;
    request->number = results.sent++;
    get_slot(intended_us)->sent++;
    histogram_add(&results.lateness,
                  (uint64_t)MAX(get_now_us() - intended_us, 0));
    http_client_send(choose_healthy_client(), &opts, on_answer, request);
}

static void
on_health(const http_response_t *response, void *data)
{
    target_t *target = data;

    target->probing = false;
    target->healthy = response->ok && response->status == 200;
}

/* Probes the targets as the load balancer of the platform does; only healthy
   entries get requests. */
static void
on_health_timer(loop_timer_t *timer)
{
    http_call_opts_t opts = {
        .method = "GET",
        .target = "/healthz",
        .timeout_ms = HEALTH_TIMEOUT_MS,
        .max_response = MAX_RESPONSE_BYTES,
        .fresh_connection = true,
    };

    for (size_t i = 0; i < target_count; i++) {
        if (!targets[i].probing) {
            targets[i].probing = true;
            http_client_send(targets[i].client, &opts, on_health, &targets[i]);
        }
    }
    loop_timer_start(timer, (uint64_t)option_health_ms);
}

static void
offer_load(void)
{
    double next_us = (double)start_us;
    double end_us = next_us + option_seconds * 1e6;

    while (next_us < end_us) {
        int64_t wait_us = (int64_t)next_us - get_now_us();

        if (wait_us > 0) {
            /* The loop waits in whole milliseconds; a shorter rest is polled
               with a timeout of 0. */
            loop_run_once(loop, (int)(wait_us / 1000));
            continue;
        }
        if (option_no_bursts && wait_us < -MAX_LATE_US) {
            /* Postpones all that is left, so that the rate is kept. */
            next_us -= (double)wait_us;
            end_us -= (double)wait_us;
        }
        send_request((int64_t)next_us);
        next_us += -log(draw_uniform()) / option_rate * 1e6;
        if (results.sent % 16 == 0) {
            loop_run_once(loop, 0);
        }
    }
    end_us += DRAIN_MS * 1e3;
    while (results.completed < results.sent && (double)get_now_us() < end_us) {
        loop_run_once(loop, 10);
    }
}

static void
add_header(const char *text)
{
    char **parts = g_strsplit(text, ":", 2);

    if (parts[0] != NULL && parts[1] != NULL) {
        headers[header_count].name = parts[0];
        headers[header_count++].value = g_strstrip(parts[1]);
    }
}

static void
set_up(void)
{
    char **addresses = g_strsplit(option_targets, ",", 0);
    size_t extra = option_headers ? g_strv_length(option_headers) : 0;

    target_count = g_strv_length(addresses);
    targets = g_new0(target_t, target_count);
    for (size_t i = 0; i < target_count; i++) {
        http_client_opts_t opts = {loop, addresses[i], MAX_CONNECTIONS};
        GError *error = NULL;

        targets[i].address = addresses[i];
        targets[i].healthy = true;
        targets[i].client = http_client_new(&opts, &error);
        if (targets[i].client == NULL) {
            fprintf(stderr, "loadgen: %s\n", error->message);
            exit(2);
        }
    }
    headers = g_new0(http_header_t, extra + 1);
    headers[0].name = "teasel-request-id";
    header_count = 1;
    for (size_t i = 0; i < extra; i++) {
        add_header(option_headers[i]);
    }
    body = g_malloc((size_t)option_body + 1);
    memset(body, 'b', (size_t)option_body);
    results.slots = g_array_new(FALSE, TRUE, sizeof(slot_t));
    random_state = (uint64_t)option_seed;
    if (option_health_ms > 0) {
        loop_timer_init(&health_timer, loop, on_health_timer, NULL);
        loop_timer_start(&health_timer, 0);
    }
}

int
main(int argc, char **argv)
{
    const GOptionEntry entries[] = {
        {"targets", 0, 0, G_OPTION_ARG_STRING, &option_targets,
         "Addresses of entries; each request goes to a random one",
         "IP:PORT,..."},
        {"path", 0, 0, G_OPTION_ARG_STRING, &option_path, NULL, "PATH"},
        {"method", 0, 0, G_OPTION_ARG_STRING, &option_method, NULL, "NAME"},
        {"header", 0, 0, G_OPTION_ARG_STRING_ARRAY, &option_headers, NULL,
         "NAME: VALUE"},
        {"name", 0, 0, G_OPTION_ARG_STRING, &option_name,
         "Prefix of the request ids", "TEXT"},
        {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &option_rate, NULL, "PER_SECOND"},
        {"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &option_seconds, NULL, "S"},
        {"warmup", 0, 0, G_OPTION_ARG_DOUBLE, &option_warmup,
         "Time at the start that is not measured", "S"},
        {"service-ms", 0, 0, G_OPTION_ARG_DOUBLE, &option_service_ms,
         "Mean service time, requested from the executor stand-in with ?ms=",
         "MS"},
        {"service", 0, 0, G_OPTION_ARG_STRING, &option_service,
         "Distribution of the service time: exp or fixed", "KIND"},
        {"seed", 0, 0, G_OPTION_ARG_INT64, &option_seed, NULL, "N"},
        {"body", 0, 0, G_OPTION_ARG_INT64, &option_body, NULL, "BYTES"},
        {"timeout-ms", 0, 0, G_OPTION_ARG_INT64, &option_timeout_ms, NULL,
         "MS"},
        {"health-ms", 0, 0, G_OPTION_ARG_INT64, &option_health_ms,
         "Interval of GET /healthz; 0: no probes", "MS"},
        {"no-bursts", 0, 0, G_OPTION_ARG_NONE, &option_no_bursts,
         "Postpone the rest of the load after a late send, instead of sending "
         "what is due at once",
         NULL},
        {"timeline", 0, 0, G_OPTION_ARG_FILENAME, &option_timeline,
         "File for the counts per 100 ms", "FILE"},
        {NULL}};
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_autoptr(GError) error = NULL;

    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        option_targets == NULL) {
        fprintf(stderr, "loadgen: %s\n",
                error ? error->message
                      : "option --targets IP:PORT,... is required");
        return 2;
    }
    loop = loop_new();
    set_up();
    start_us = get_now_us();
    offer_load();
    results_print();
    if (option_timeline != NULL) {
        results_write_timeline(option_timeline);
    }
    return 0;
}
