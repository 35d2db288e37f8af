/* Preloaded into a program of the soak: its time of day, and that of its
   libraries, is ahead by the milliseconds in the file that the environment
   names. */

#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

#include "base/clock.h"

static volatile const int64_t *offset_ms;

__attribute__((constructor)) static void
map_offset(void)
{
    const char *path = getenv("TIME_OF_DAY_OFFSET");
    int fd = path == NULL ? -1 : open(path, O_RDONLY | O_CLOEXEC);
    void *map;

    if (fd < 0) {
        return;
    }
    map = mmap(NULL, sizeof(*offset_ms), PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    if (map != MAP_FAILED) {
        offset_ms = map;
    }
}

int
clock_gettime(clockid_t clock_id, struct timespec *tp)
{
    long result = syscall(SYS_clock_gettime, clock_id, tp);

    if (clock_id == CLOCK_REALTIME && offset_ms != NULL) {
        *tp = timespec_add_ms(*tp, *offset_ms);
    }
    return (int)result;
}

int
gettimeofday(struct timeval *restrict tv, void *restrict tz)
{
    struct timespec wall;
    int result = clock_gettime(CLOCK_REALTIME, &wall);

    tv->tv_sec = wall.tv_sec;
    tv->tv_usec = wall.tv_nsec / 1000;
    return result;
}
