/*
 * A library for tests that is loaded before the C library (LD_PRELOAD). It makes system calls of the process
 * fail, transfer fewer bytes than requested or kill the process, and shifts the process's wall clock.
 *
 * The environment variable FAULTS holds rules, separated by ';':
 *
 *     CALL=ACTION[@PERCENT][#NTH][,FROM-TO]
 *
 * CALL    accept, socket, connect, recv, send (on sockets); uprecv, upsend (on sockets that this process has
 *         connected); write, fsync, truncate, rename (on files below FAULT_FOLDER); clock (the wall clock)
 * ACTION  the name of an errno: the call fails with it; SHORT: the call transfers only half of the bytes;
 *         KILL: the process is killed with SIGKILL before the call; for clock: milliseconds to add
 * PERCENT probability that the rule applies to a call; 100 by default
 * NTH     the rule applies only to the call with this number, counted from 1 over all calls of that name
 * FROM-TO period in which the rule applies, in milliseconds of monotonic time since the library was loaded;
 *         always by default
 *
 * FAULT_SEED seeds the probabilities. FAULT_COUNT names a file to which a byte is appended for each write,
 * fsync, truncate and rename below FAULT_FOLDER, so that a test can count these calls.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MOST_RULES 32
#define MOST_FDS 4096
#define SHORT_ACTION -1
#define KILL_ACTION -2
#define NO_FAULT 0
#define NSEC 1000000000L

enum call { ACCEPT, SOCKET, CONNECT, RECV, SEND, UPRECV, UPSEND, WRITE, FSYNC, TRUNCATE, RENAME, CLOCK, CALLS };

static const char *const call_names[CALLS] = {
    "accept", "socket", "connect", "recv", "send", "uprecv", "upsend", "write", "fsync", "truncate", "rename",
    "clock"};

struct rule {
    enum call call;
    int action;
    long clock_ms;
    int percent;
    long nth;
    long from_ms;
    long to_ms;
};

static const struct {
    const char *name;
    int number;
} errors[] = {
    {"EAGAIN", EAGAIN}, {"EINTR", EINTR}, {"ECONNABORTED", ECONNABORTED}, {"EMFILE", EMFILE},
    {"ENFILE", ENFILE}, {"ENOBUFS", ENOBUFS}, {"ENOMEM", ENOMEM}, {"EPROTO", EPROTO}, {"EPERM", EPERM},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL}, {"ENETUNREACH", ENETUNREACH}, {"EHOSTUNREACH", EHOSTUNREACH},
    {"ETIMEDOUT", ETIMEDOUT}, {"ECONNREFUSED", ECONNREFUSED}, {"ECONNRESET", ECONNRESET},
    {"EPIPE", EPIPE}, {"ENOSPC", ENOSPC}, {"EIO", EIO}, {"EDQUOT", EDQUOT}, {"ENETDOWN", ENETDOWN}};

static struct rule rules[MOST_RULES];
static int rule_count;
static const char *folder;
static int count_file = -1;
static struct timespec loaded;
static atomic_ulong seed;
static atomic_long calls[CALLS];
static atomic_char connected_here[MOST_FDS];

#define REAL(name) ((__typeof__(&name)) real(#name))

static void *real(const char *name) {
    return dlsym(RTLD_NEXT, name);
}

static int real_clock(clockid_t id, struct timespec *to) {
    static __typeof__(&clock_gettime) call;
    if (!call) {
        call = REAL(clock_gettime);
    }
    return call(id, to);
}

static long since_load_ms(void) {
    struct timespec now;
    real_clock(CLOCK_MONOTONIC, &now);
    return (now.tv_sec - loaded.tv_sec) * 1000 + (now.tv_nsec - loaded.tv_nsec) / 1000000;
}

static _Noreturn void refuse(const char *text) {
    fprintf(stderr, "syscall_faults: malformed rule '%s' or too many rules\n", text);
    abort();
}

static int action_of(const char *name, const char *text) {
    if (!strcmp(name, "SHORT")) {
        return SHORT_ACTION;
    }
    if (!strcmp(name, "KILL")) {
        return KILL_ACTION;
    }
    for (size_t i = 0; i < sizeof errors / sizeof *errors; i++) {
        if (!strcmp(name, errors[i].name)) {
            return errors[i].number;
        }
    }
    refuse(text);
}

static void read_rule(const char *text) {
    char call[16], action[24];
    int used = 0;
    if (rule_count == MOST_RULES || sscanf(text, "%15[a-z]=%23[A-Z0-9+-]%n", call, action, &used) != 2) {
        refuse(text);
    }
    struct rule *rule = &rules[rule_count++];
    *rule = (struct rule) {.call = CALLS, .percent = 100, .to_ms = INT64_MAX};
    for (int i = 0; i < CALLS; i++) {
        if (!strcmp(call, call_names[i])) {
            rule->call = i;
        }
    }
    if (rule->call == CALLS) {
        refuse(text);
    }
    if (rule->call == CLOCK) {
        rule->clock_ms = atol(action);
    } else {
        rule->action = action_of(action, text);
    }
    for (const char *rest = text + used; *rest; rest += used) {
        if (sscanf(rest, "@%d%n", &rule->percent, &used) != 1
                && sscanf(rest, "#%ld%n", &rule->nth, &used) != 1
                && sscanf(rest, ",%ld-%ld%n", &rule->from_ms, &rule->to_ms, &used) != 2) {
            refuse(text);
        }
    }
}

__attribute__((constructor)) static void load(void) {
    real_clock(CLOCK_MONOTONIC, &loaded);
    folder = getenv("FAULT_FOLDER");
    const char *given = getenv("FAULT_SEED");
    atomic_store(&seed, given ? strtoul(given, 0, 10) : 1);
    const char *counted = getenv("FAULT_COUNT");
    if (counted) {
        count_file = REAL(open)(counted, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    }
    const char *plan = getenv("FAULTS");
    if (!plan) {
        return;
    }
    char *copy = strdup(plan);
    char *rest = copy;
    for (char *text = strsep(&rest, ";"); text; text = strsep(&rest, ";")) {
        if (*text) {
            read_rule(text);
        }
    }
    free(copy);
}

/* Returns a pseudorandom number from 0 to 99 (splitmix64); the sequence depends only on FAULT_SEED. */
static int chance(void) {
    uint64_t z = atomic_fetch_add(&seed, 0x9E3779B97F4A7C15ul) + 0x9E3779B97F4A7C15ul;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ul;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBul;
    return (int) ((z ^ (z >> 31)) % 100);
}

/* Counts a call and returns the errno or action of the first rule that applies to it, or NO_FAULT. */
static int fault(enum call call) {
    long number = atomic_fetch_add(&calls[call], 1) + 1;
    for (int i = 0; i < rule_count; i++) {
        struct rule *rule = &rules[i];
        if (rule->call != call || (rule->nth && rule->nth != number)) {
            continue;
        }
        long now = since_load_ms();
        if (now < rule->from_ms || now >= rule->to_ms
                || (rule->percent < 100 && chance() >= rule->percent)) {
            continue;
        }
        if (rule->action == KILL_ACTION) {
            kill(getpid(), SIGKILL);
        }
        return rule->action;
    }
    return NO_FAULT;
}

/* Like fault(), for calls on files below FAULT_FOLDER: also appends a byte to the count file. */
static int file_fault(enum call call) {
    if (count_file >= 0) {
        REAL(write)(count_file, &(char) {'a' + (char) call}, 1);
    }
    return fault(call);
}

static int is_socket(int fd) {
    struct stat status;
    return !fstat(fd, &status) && S_ISSOCK(status.st_mode);
}

static int below_folder(const char *path) {
    return folder && !strncmp(path, folder, strlen(folder));
}

/* Returns whether the descriptor is a file or directory below FAULT_FOLDER. */
static int is_stored(int fd) {
    struct stat status;
    if (!folder || fd <= 2 || fstat(fd, &status) || S_ISSOCK(status.st_mode) || S_ISFIFO(status.st_mode)) {
        return 0;
    }
    char link[32], path[4096];
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, sizeof path - 1);
    if (length < 0) {
        return 0;
    }
    path[length] = 0;
    return below_folder(path);
}

static int failed(int error) {
    errno = error;
    return -1;
}

/* ---- Calls on sockets */

/* Records whether this process has connected the socket, and returns the descriptor. */
static int mark(int fd, char connected) {
    if (fd >= 0 && fd < MOST_FDS) {
        atomic_store(&connected_here[fd], connected);
    }
    return fd;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    int error = fault(ACCEPT);
    return error > 0 ? failed(error) : mark(REAL(accept)(fd, address, length), 0);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    int error = fault(ACCEPT);
    return error > 0 ? failed(error) : mark(REAL(accept4)(fd, address, length, flags), 0);
}

int socket(int domain, int type, int protocol) {
    int error = domain == AF_INET || domain == AF_INET6 ? fault(SOCKET) : NO_FAULT;
    return error > 0 ? failed(error) : REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    int error = address->sa_family == AF_INET || address->sa_family == AF_INET6 ? fault(CONNECT) : NO_FAULT;
    mark(fd, 1);
    if (error == EINTR) {
        /* The kernel goes on establishing the connection after an interrupted connect. */
        int result = REAL(connect)(fd, address, length);
        return result && errno != EINPROGRESS ? result : failed(EINTR);
    }
    return error > 0 ? failed(error) : REAL(connect)(fd, address, length);
}

/* Returns the number of bytes that a call on a socket may transfer, or -1 with errno set if it fails. */
static ssize_t allowed(enum call call, int fd, size_t length) {
    int error = NO_FAULT;
    if (rule_count && is_socket(fd)) {
        error = fault(call);
        if (error == NO_FAULT && fd < MOST_FDS && atomic_load(&connected_here[fd])) {
            error = fault(call == RECV ? UPRECV : UPSEND);
        }
    }
    if (error == SHORT_ACTION) {
        return length > 1 ? (ssize_t) (length + 1) / 2 : (ssize_t) length;
    }
    return error > 0 ? failed(error) : (ssize_t) length;
}

ssize_t read(int fd, void *to, size_t length) {
    ssize_t most = allowed(RECV, fd, length);
    return most < 0 ? most : REAL(read)(fd, to, (size_t) most);
}

ssize_t recv(int fd, void *to, size_t length, int flags) {
    ssize_t most = allowed(RECV, fd, length);
    return most < 0 ? most : REAL(recv)(fd, to, (size_t) most, flags);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    ssize_t most = allowed(RECV, fd, parts[0].iov_len);
    return most < 0 ? most : REAL(readv)(fd, parts, most == (ssize_t) parts[0].iov_len ? count : 1);
}

/* Returns the number of bytes that a write to a file may transfer, or -1 with errno set if it fails. */
static ssize_t stored_length(int fd, size_t length) {
    int error = file_fault(WRITE);
    if (error == SHORT_ACTION) {
        return length > 1 ? (ssize_t) (length + 1) / 2 : (ssize_t) length;
    }
    (void) fd;
    return error > 0 ? failed(error) : (ssize_t) length;
}

ssize_t write(int fd, const void *from, size_t length) {
    ssize_t most = is_stored(fd) ? stored_length(fd, length) : allowed(SEND, fd, length);
    return most < 0 ? most : REAL(write)(fd, from, (size_t) most);
}

ssize_t pwrite64(int fd, const void *from, size_t length, off64_t at) {
    ssize_t most = is_stored(fd) ? stored_length(fd, length) : (ssize_t) length;
    return most < 0 ? most : REAL(pwrite64)(fd, from, (size_t) most, at);
}

ssize_t send(int fd, const void *from, size_t length, int flags) {
    ssize_t most = allowed(SEND, fd, length);
    return most < 0 ? most : REAL(send)(fd, from, (size_t) most, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    size_t first = count > 0 ? parts[0].iov_len : 0;
    ssize_t most = is_stored(fd) ? stored_length(fd, first) : allowed(SEND, fd, first);
    if (most < 0) {
        return most;
    }
    if ((size_t) most == first) {
        return REAL(writev)(fd, parts, count);
    }
    return REAL(write)(fd, parts[0].iov_base, (size_t) most);
}

/* ---- Calls on files */

int fsync(int fd) {
    int error = is_stored(fd) ? file_fault(FSYNC) : NO_FAULT;
    return error > 0 ? failed(error) : REAL(fsync)(fd);
}

int fdatasync(int fd) {
    int error = is_stored(fd) ? file_fault(FSYNC) : NO_FAULT;
    return error > 0 ? failed(error) : REAL(fdatasync)(fd);
}

int ftruncate64(int fd, off64_t length) {
    int error = is_stored(fd) ? file_fault(TRUNCATE) : NO_FAULT;
    return error > 0 ? failed(error) : REAL(ftruncate64)(fd, length);
}

int ftruncate(int fd, off_t length) {
    int error = is_stored(fd) ? file_fault(TRUNCATE) : NO_FAULT;
    return error > 0 ? failed(error) : REAL(ftruncate)(fd, length);
}

int rename(const char *from, const char *to) {
    int error = below_folder(from) ? file_fault(RENAME) : NO_FAULT;
    return error > 0 ? failed(error) : REAL(rename)(from, to);
}

/* ---- Calls on the wall clock */

/* Adds the milliseconds of all clock rules that apply now. */
static void shift(struct timespec *time) {
    long ms = 0;
    for (int i = 0; i < rule_count; i++) {
        if (rules[i].call == CLOCK) {
            long now = since_load_ms();
            ms += now >= rules[i].from_ms && now < rules[i].to_ms ? rules[i].clock_ms : 0;
        }
    }
    long ns = time->tv_nsec + ms % 1000 * 1000000;
    time->tv_sec += ms / 1000 + (ns < 0 ? -1 : ns >= NSEC ? 1 : 0);
    time->tv_nsec = (ns + NSEC) % NSEC;
}

int clock_gettime(clockid_t id, struct timespec *to) {
    int result = real_clock(id, to);
    if (!result && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
        shift(to);
    }
    return result;
}

int gettimeofday(struct timeval *restrict to, void *restrict zone) {
    (void) zone;
    struct timespec now;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    to->tv_sec = now.tv_sec;
    to->tv_usec = now.tv_nsec / 1000;
    return result;
}

time_t time(time_t *to) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (to) {
        *to = now.tv_sec;
    }
    return now.tv_sec;
}
