/*
 * Faults of the system for tests, preloaded into the program under test (LD_PRELOAD); never part of what is shipped.
 *
 * The file that FAULTS_FILE names is mapped and read at each call, so that a test can change it while the program
 * runs: how far the wall clock is off, and how many of the next calls of accept and connect fail, and with which
 * errno. The counts go down as calls fail. See FaultsIT.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

struct control {
    _Atomic int64_t wall_seconds;
    _Atomic int32_t accept_errno;
    _Atomic int32_t accept_fails;
    _Atomic int32_t connect_errno;
    _Atomic int32_t connect_fails;
};

static struct control none;
static struct control *control = &none;

__attribute__((constructor)) static void begin(void)
{
    const char *path = getenv("FAULTS_FILE");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0) {
        return;
    }
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (mapped != MAP_FAILED) {
        control = mapped;
    }
    close(file);
}

/* Takes one of the failures that are left; the errno, or 0 for none. */
static int fails(_Atomic int32_t *left, _Atomic int32_t *why)
{
    int32_t now = atomic_load(left);
    while (now > 0) {
        if (atomic_compare_exchange_weak(left, &now, now - 1)) {
            return atomic_load(why);
        }
    }
    return 0;
}

int accept(int fd, struct sockaddr *address, socklen_t *length)
{
    static int (*real)(int, struct sockaddr *, socklen_t *);
    if (!real) {
        real = dlsym(RTLD_NEXT, "accept");
    }
    int why = fails(&control->accept_fails, &control->accept_errno);
    if (why) {
        errno = why;
        return -1;
    }
    return real(fd, address, length);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    static int (*real)(int, const struct sockaddr *, socklen_t);
    if (!real) {
        real = dlsym(RTLD_NEXT, "connect");
    }
    int why = address->sa_family == AF_UNIX ? 0 : fails(&control->connect_fails, &control->connect_errno);
    if (why) {
        errno = why;
        return -1;
    }
    return real(fd, address, length);
}

int clock_gettime(clockid_t clock, struct timespec *at)
{
    static int (*real)(clockid_t, struct timespec *);
    if (!real) {
        real = dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = real(clock, at);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        at->tv_sec += atomic_load(&control->wall_seconds);
    }
    return result;
}

int gettimeofday(struct timeval *at, void *zone)
{
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    at->tv_sec = now.tv_sec;
    at->tv_usec = now.tv_nsec / 1000;
    return 0;
}
