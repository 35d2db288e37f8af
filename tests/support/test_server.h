#ifndef TEASEL_TESTS_TEST_SERVER_H
#define TEASEL_TESTS_TEST_SERVER_H

#include <gtest/gtest.h>

extern "C" {
#include "base/http_server.h"
}

/* Creates a server of a test, and reports why it can't; returns NULL then. */
inline http_server_t *
new_test_server(loop_t *loop, const char *address, size_t max_body,
                const http_route_t *routes, void *data)
{
    http_server_opts_t opts = {};
    GError *error = nullptr;
    http_server_t *server;

    opts.loop = loop;
    opts.listen = address;
    opts.max_body = max_body;
    opts.routes = routes;
    opts.data = data;
    server = http_server_new(&opts, &error);
    if (server == nullptr) {
        ADD_FAILURE() << error->message;
        g_error_free(error);
    }
    return server;
}

#endif
