/* System calls that fail as Linux documents, for tests: preloaded into a router process (LD_PRELOAD).
 *
 * CHALKYARD_FAULTS is a list such as "seed=7,recv=5,socket=3,until_ms=800". Each call named by a key fails, or is cut
 * short, once in so many times:
 *   recv, send     interrupted, or cut short
 *   accept, socket, connect, epoll    one of the errors that their pages document as passing
 *   disk           write to a regular file: half of it, ENOSPC or EIO; fsync and fdatasync: EIO
 * until_ms ends all of these so long after the process's start. step_s moves the wall clock by so many seconds (which may be negative),
 * step_at_ms after the start. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

static atomic_ulong state;
static long long start_ms = -1;
static long recv_in, send_in, accept_in, socket_in, connect_in, epoll_in, disk_in, until_ms, step_s, step_at_ms;

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

static long long monotonic_ms(void) {
    static __typeof__(&clock_gettime) real;
    struct timespec now;
    if (!real) real = REAL(clock_gettime);
    real(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

static long setting(const char *key, long otherwise) {
    const char *all = getenv("CHALKYARD_FAULTS");
    size_t length = strlen(key);
    for (const char *at = all; at && *at; at = strchr(at, ',') ? strchr(at, ',') + 1 : NULL)
        if (!strncmp(at, key, length) && at[length] == '=') return strtol(at + length + 1, NULL, 10);
    return otherwise;
}

__attribute__((constructor)) static void begin(void) {
    start_ms = monotonic_ms();
    atomic_store(&state, (unsigned long)setting("seed", 1) * 2654435761UL + 1);
    recv_in = setting("recv", 0);
    send_in = setting("send", 0);
    accept_in = setting("accept", 0);
    socket_in = setting("socket", 0);
    connect_in = setting("connect", 0);
    epoll_in = setting("epoll", 0);
    disk_in = setting("disk", 0);
    until_ms = setting("until_ms", 0);
    step_s = setting("step_s", 0);
    step_at_ms = setting("step_at_ms", 0);
}

/* splitmix64, so that all threads draw from one sequence. */
static unsigned long draw(void) {
    uint64_t z = atomic_fetch_add(&state, 0x9E3779B97F4A7C15UL) + 0x9E3779B97F4A7C15UL;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9UL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBUL;
    return z ^ (z >> 31);
}

static int strikes(long one_in) {
    if (one_in <= 0 || start_ms < 0) return 0;
    if (until_ms > 0 && monotonic_ms() - start_ms >= until_ms) return 0;
    return draw() % (unsigned long)one_in == 0;
}

static int fail(const int *errors, size_t many) {
    errno = errors[draw() % many];
    return -1;
}

#define FAIL(...)                                              \
    do {                                                       \
        static const int errors[] = {__VA_ARGS__};             \
        return fail(errors, sizeof errors / sizeof errors[0]); \
    } while (0)

static size_t cut(size_t length) {
    return length > 1 ? 1 + draw() % (length < 64 ? length - 1 : 63) : length;
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    if (strikes(recv_in)) {
        if (draw() % 4 == 0) FAIL(EINTR);
        if (!(flags & MSG_PEEK)) length = cut(length);
    }
    return REAL(recv)(fd, buffer, length, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    if (strikes(send_in)) {
        if (draw() % 4 == 0) FAIL(EINTR);
        length = cut(length);
    }
    return REAL(send)(fd, buffer, length, flags);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    if (strikes(accept_in)) FAIL(EINTR, ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EHOSTUNREACH);
    return REAL(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    if (strikes(socket_in)) FAIL(EMFILE, ENFILE, ENOBUFS, ENOMEM);
    return REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (strikes(connect_in)) FAIL(EAGAIN, EADDRNOTAVAIL, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH);
    return REAL(connect)(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    if (strikes(epoll_in)) FAIL(EINTR);
    return REAL(epoll_wait)(fd, events, most, timeout);
}

static int is_file(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    if (disk_in > 0 && is_file(fd) && strikes(disk_in)) {
        if (draw() % 2 == 0) FAIL(ENOSPC, EIO);
        length = length > 1 ? length / 2 : length;
    }
    return REAL(write)(fd, buffer, length);
}

int fsync(int fd) {
    if (strikes(disk_in)) FAIL(EIO);
    return REAL(fsync)(fd);
}

int fdatasync(int fd) {
    if (strikes(disk_in)) FAIL(EIO);
    return REAL(fdatasync)(fd);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = REAL(clock_gettime)(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME && step_s != 0 && monotonic_ms() - start_ms >= step_at_ms) now->tv_sec += step_s;
    return result;
}
