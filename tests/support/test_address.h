#ifndef TEASEL_TESTS_TEST_ADDRESS_H
#define TEASEL_TESTS_TEST_ADDRESS_H

#include <stdio.h>
#include <stdlib.h>

/* Returns in @out the loopback address with port TEST_PORT_BASE (default
   20000) plus @offset, so that several checkouts can run their tests on one
   machine. */
static inline void
test_address(char out[32], int offset)
{
    const char *base = getenv("TEST_PORT_BASE");

    snprintf(out, 32, "127.0.0.1:%d",
             (base != NULL ? atoi(base) : 20000) + offset);
}

#endif
