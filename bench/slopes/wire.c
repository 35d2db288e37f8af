#include "slopes.h"
#include "wire/frame.h"

enum {
    /* 280,000 batch tasks on 24,000 workers, rounded up */
    TASKS_PER_WORKER = 12,
    BODY_BYTES = 1024,
};

static void
measure_frame(uint64_t count, const Teasel__Envelope *envelope,
              slope_result_t *result)
{
    g_autoptr(GByteArray) out = g_byte_array_new();
    Teasel__Envelope *decoded = NULL;
    size_t consumed = 0;
    slope_mark_t mark;

    slope_begin(&mark);
    for (uint64_t i = 0; i < count; i++) {
        g_byte_array_set_size(out, 0);
        frame_encode(envelope, out, NULL);
        frame_decode(out->data, out->len, &consumed, &decoded, NULL);
        teasel__envelope__free_unpacked(decoded, NULL);
    }
    slope_end(&mark, count, result);
    result->memory = -1;
    result->bytes = (double)out->len;
}

static void
run_heartbeat(uint64_t count, slope_result_t *result)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Heartbeat heartbeat = TEASEL__HEARTBEAT__INIT;
    Teasel__Resources capacity = TEASEL__RESOURCES__INIT;
    Teasel__RunningTask tasks[TASKS_PER_WORKER];
    Teasel__RunningTask *list[TASKS_PER_WORKER];

    for (int i = 0; i < TASKS_PER_WORKER; i++) {
        teasel__running_task__init(&tasks[i]);
        tasks[i].job_id = "typeset-2026-12-04-000123456";
        tasks[i].attempt = 1;
        tasks[i].progress_ms = 1234567;
        tasks[i].cpu_milli = 2000;
        tasks[i].memory_mb = 8000;
        tasks[i].throttle = 100;
        list[i] = &tasks[i];
    }
    capacity.cpu_milli = 32000;
    capacity.memory_mb = 125000;
    capacity.accelerators = 2;
    heartbeat.agent_id = "agent-accra-12345";
    heartbeat.incarnation = 1796367422761858;
    heartbeat.sequence = 86400;
    heartbeat.capacity = &capacity;
    heartbeat.n_tasks = TASKS_PER_WORKER;
    heartbeat.tasks = list;
    heartbeat.config_next = 42000;
    heartbeat.data_centre = "accra";
    heartbeat.rack = "accra-rack-123";
    envelope.body_case = TEASEL__ENVELOPE__BODY_HEARTBEAT;
    envelope.heartbeat = &heartbeat;
    measure_frame(count, &envelope, result);
}

static void
run_renew(uint64_t count, slope_result_t *result)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Renew renew = TEASEL__RENEW__INIT;

    renew.epoch = 123456;
    renew.sequence = 86400;
    renew.lease_ms = 14000;
    envelope.body_case = TEASEL__ENVELOPE__BODY_RENEW;
    envelope.renew = &renew;
    measure_frame(count, &envelope, result);
}

static void
fill_load(Teasel__Load *load)
{
    teasel__load__init(load);
    load->running = 6;
    load->queued = 2;
    load->slots = 8;
    load->service_time_us = 20000;
    load->config_next = 42000;
    load->sequence = 123456;
}

static void
run_report(uint64_t count, slope_result_t *result)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Report report = TEASEL__REPORT__INIT;
    Teasel__Load load;

    fill_load(&load);
    report.load = &load;
    envelope.body_case = TEASEL__ENVELOPE__BODY_REPORT;
    envelope.report = &report;
    measure_frame(count, &envelope, result);
}

static void
run_request(uint64_t count, slope_result_t *result)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Request request = TEASEL__REQUEST__INIT;
    Teasel__Header header = TEASEL__HEADER__INIT;
    Teasel__Header *headers[] = {&header, &header, &header};
    uint8_t body[BODY_BYTES] = {0};

    header.name = "content-type";
    header.value = "application/json";
    request.request_id = 123456789;
    request.service = "preview";
    request.method = "GET";
    request.target = "/chapbooks/1234/pages/7?width=640";
    request.n_headers = G_N_ELEMENTS(headers);
    request.headers = headers;
    request.body.data = body;
    request.body.len = sizeof(body);
    request.deadline_ms = 1000;
    request.idempotent = 1;
    envelope.body_case = TEASEL__ENVELOPE__BODY_REQUEST;
    envelope.request = &request;
    measure_frame(count, &envelope, result);
}

static void
run_start(uint64_t count, slope_result_t *result)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__StartTask start = TEASEL__START_TASK__INIT;
    Teasel__Resources size = TEASEL__RESOURCES__INIT;
    char spec[] = "{\"class\":\"typeset\",\"cpu_milli\":2000,\"memory_mb\":"
                  "8000,\"run_ms\":600000,\"team\":\"team-12\"}";

    size.cpu_milli = 2000;
    size.memory_mb = 8000;
    start.epoch = 123456;
    start.job_id = "typeset-2026-12-04-000123456";
    start.attempt = 1;
    start.size = &size;
    start.spec.data = (uint8_t *)spec;
    start.spec.len = sizeof(spec) - 1;
    envelope.body_case = TEASEL__ENVELOPE__BODY_START_TASK;
    envelope.start_task = &start;
    measure_frame(count, &envelope, result);
}

const slope_t slopes_wire[] = {
    {"wire-heartbeat", "heartbeat of 12 tasks, encoded and decoded", 100000,
     run_heartbeat},
    {"wire-renew", "lease renewal, encoded and decoded", 100000, run_renew},
    {"wire-report", "load report, encoded and decoded", 100000, run_report},
    {"wire-request", "request of 1 KiB, encoded and decoded", 100000,
     run_request},
    {"wire-start", "StartTask, encoded and decoded", 100000, run_start},
    {NULL, NULL, 0, NULL},
};
