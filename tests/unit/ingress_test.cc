/* Answers to callers over HTTP. */

#include <gtest/gtest.h>

#include "deployment.h"

extern "C" {
#include "base/http_client.h"
#include "ingress.h"
}

namespace {

enum {
    PORT = 860,
    HTTP_PORT = 859,
    CALL_TIMEOUT_MS = 2000,
};

/* The interface of one scheduler of a deployment. */
struct Ingress {
    Deployment deployment;
    char address[32];
    http_server_t *server;
    http_client_t *client;
    bool answered = false;
    int status = 0;
    std::string body;
    std::string retry_after;

    Ingress() : deployment(1, 0, PORT)
    {
        http_client_opts_t opts = {};

        test_address(address, HTTP_PORT);
        opts.loop = deployment.loop;
        opts.address = address;
        opts.max_connections = 1;
        server = ingress_new(deployment.loop, address, 4096,
                             deployment.schedulers[0]->scheduler, nullptr);
        g_assert(server != nullptr);
        client = http_client_new(&opts, nullptr);
    }
    Ingress(const Ingress &) = delete;
    ~Ingress()
    {
        http_client_free(client);
        http_server_free(server);
    }
    static void
    on_response(const http_response_t *response, void *data)
    {
        auto *self = static_cast<Ingress *>(data);
        const char *retry_after =
            http_response_get_header(response, "retry-after");

        self->status = response->status;
        self->body.assign(response->body, response->body_length);
        self->retry_after = retry_after != nullptr ? retry_after : "";
        self->answered = true;
    }
    void
    submit(const char *target)
    {
        static const char job[] =
            "{\"Spec\":\"text\",\"Phases\":[{\"Count\":1,\"Cpu\":500,"
            "\"MemMb\":64}]}";
        http_header_t host = {"host", "host"};
        http_call_opts_t opts = {};

        opts.method = "POST";
        opts.target = target;
        opts.headers = &host;
        opts.header_count = 1;
        opts.body = job;
        opts.body_length = strlen(job);
        opts.timeout_ms = CALL_TIMEOUT_MS;
        opts.max_response = 4096;
        answered = false;
        http_client_send(client, &opts, on_response, this);
        ASSERT_TRUE(deployment.wait([this] { return answered; }));
    }
};

// Guards against a caller that takes the refusal of a scheduler without a
// leader for one of the job, which an earlier call may have submitted.
TEST(Ingress, SaysThatARefusalWithoutALeaderSpeaksOfTheCall)
{
    Ingress ingress;

    ingress.deployment.schedulers[0]->view->refuse = true;
    ingress.submit("/q/00000000000000a1");
    EXPECT_EQ(ingress.status, 503);
    EXPECT_TRUE(ingress.retry_after == "1" || ingress.retry_after == "2")
        << ingress.retry_after;
    EXPECT_EQ(ingress.body,
              "{\"Error\":\"this call was not accepted, try again; an earlier "
              "call for the same job may have been\"}");
}

} // namespace
