/*
 * A library for LD_PRELOAD that moves the wall clock of a process under test and lets its system calls fail
 * with errors that their manual pages list. Each call reads the active faults from a shared page, the file
 * named by FAULT_CONTROL, which the test writes. shim.py has the same layout of the page.
 *
 * The monotonic clock is never changed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum { ACCEPT, SOCKET, CONNECT, SEND, RECV, EPOLL_WAIT, OPEN, BIND, LISTEN, GETSOCKOPT, CALLS };

#define SHORT_TRANSFER (-1) /* instead of an error number: only one byte is sent or received */
#define ERRORS_PER_CALL 2

struct fault {
    uint32_t per_million; /* chance that a call fails */
    int32_t error;
};

struct control {
    int64_t wall_offset_ns;
    uint64_t injected[CALLS];
    struct fault faults[CALLS][ERRORS_PER_CALL];
};

static struct control *control;
static uint64_t random_state = 88172645463325252ULL;
static const char *file_prefix; /* OPEN faults affect only paths that begin with this */

__attribute__((constructor)) static void attach(void) {
    const char *path = getenv("FAULT_CONTROL");
    const char *seed = getenv("FAULT_SEED");
    file_prefix = getenv("FAULT_FILES");
    if (seed)
        random_state ^= strtoull(seed, NULL, 10) * 0x9E3779B97F4A7C15ULL;
    if (!random_state)
        random_state = 1;
    if (!path)
        return;
    int (*real_open)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    int fd = real_open(path, O_RDWR);
    if (fd < 0)
        return;
    void *page = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (page != MAP_FAILED)
        control = page;
}

static uint64_t next_random(void) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state;
}

/* Return 0 to let the call through, or an error number or SHORT_TRANSFER. */
static int choose_fault(int call) {
    if (!control)
        return 0;
    for (int i = 0; i < ERRORS_PER_CALL; i++) {
        struct fault fault = control->faults[call][i];
        if (fault.per_million && next_random() % 1000000 < fault.per_million) {
            __atomic_fetch_add(&control->injected[call], 1, __ATOMIC_RELAXED);
            return fault.error;
        }
    }
    return 0;
}

#define REAL(name) \
    static __typeof__(&name) real_##name; \
    if (!real_##name) \
        real_##name = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

#define FAIL_IF_CHOSEN(call) \
    do { \
        int error = choose_fault(call); \
        if (error) { \
            errno = error; \
            return -1; \
        } \
    } while (0)

int clock_gettime(clockid_t id, struct timespec *now) {
    REAL(clock_gettime);
    int result = real_clock_gettime(id, now);
    if (result == 0 && control && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
        int64_t ns = now->tv_sec * 1000000000LL + now->tv_nsec + control->wall_offset_ns;
        now->tv_sec = ns / 1000000000LL;
        now->tv_nsec = ns % 1000000000LL;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    struct timespec wall_time;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &wall_time);
    now->tv_sec = wall_time.tv_sec;
    now->tv_usec = wall_time.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *seconds) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (seconds)
        *seconds = now.tv_sec;
    return now.tv_sec;
}

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
    REAL(accept4);
    FAIL_IF_CHOSEN(ACCEPT);
    return real_accept4(fd, address, length, flags);
}

int accept(int fd, struct sockaddr *restrict address, socklen_t *restrict length) {
    REAL(accept);
    FAIL_IF_CHOSEN(ACCEPT);
    return real_accept(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    FAIL_IF_CHOSEN(SOCKET);
    return real_socket(domain, type, protocol);
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(bind);
    FAIL_IF_CHOSEN(BIND);
    return real_bind(fd, address, length);
}

int listen(int fd, int backlog) {
    REAL(listen);
    FAIL_IF_CHOSEN(LISTEN);
    return real_listen(fd, backlog);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    FAIL_IF_CHOSEN(CONNECT);
    return real_connect(fd, address, length);
}

/* A connection error is reported as the pending error of its socket. */
int getsockopt(int fd, int level, int name, void *restrict value, socklen_t *restrict length) {
    REAL(getsockopt);
    int result = real_getsockopt(fd, level, name, value, length);
    if (result == 0 && level == SOL_SOCKET && name == SO_ERROR) {
        int error = choose_fault(GETSOCKOPT);
        if (error)
            *(int *)value = error;
    }
    return result;
}

ssize_t send(int fd, const void *data, size_t length, int flags) {
    REAL(send);
    int error = choose_fault(SEND);
    if (error == SHORT_TRANSFER)
        return real_send(fd, data, length ? 1 : 0, flags);
    if (error) {
        errno = error;
        return -1;
    }
    return real_send(fd, data, length, flags);
}

ssize_t recv(int fd, void *data, size_t length, int flags) {
    REAL(recv);
    int error = choose_fault(RECV);
    if (error == SHORT_TRANSFER)
        return real_recv(fd, data, length ? 1 : 0, flags);
    if (error) {
        errno = error;
        return -1;
    }
    return real_recv(fd, data, length, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout_ms) {
    REAL(epoll_wait);
    FAIL_IF_CHOSEN(EPOLL_WAIT);
    return real_epoll_wait(fd, events, max_events, timeout_ms);
}

static int open_fault(const char *path) {
    if (!file_prefix || strncmp(path, file_prefix, strlen(file_prefix)))
        return 0;
    return choose_fault(OPEN);
}

#define DEFINE_OPEN(name) \
    int name(const char *path, int flags, ...) { \
        REAL(name); \
        mode_t mode = 0; \
        if (flags & (O_CREAT | O_TMPFILE)) { \
            va_list arguments; \
            va_start(arguments, flags); \
            mode = va_arg(arguments, mode_t); \
            va_end(arguments); \
        } \
        int error = open_fault(path); \
        if (error) { \
            errno = error; \
            return -1; \
        } \
        return real_##name(path, flags, mode); \
    }

DEFINE_OPEN(open)
DEFINE_OPEN(open64)
