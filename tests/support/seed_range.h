#ifndef TEASEL_TESTS_SEED_RANGE_H
#define TEASEL_TESTS_SEED_RANGE_H

#include <cstdio>
#include <cstdlib>
#include <vector>

/* Returns the seeds that an environment variable gives by the first one and
   their number, as in "100:2000"; otherwise, or for what it leaves out, the
   defaults. */
inline std::vector<unsigned>
get_seeds(const char *variable, unsigned first, unsigned count)
{
    const char *text = getenv(variable);
    std::vector<unsigned> seeds;

    if (text != nullptr) {
        sscanf(text, "%u:%u", &first, &count);
    }
    for (unsigned i = 0; i < count; i++) {
        seeds.push_back(first + i);
    }
    return seeds;
}

#endif
