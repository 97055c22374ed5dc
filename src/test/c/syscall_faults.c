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

#define MAX_RULES 32
#define MAX_TRACKED_FDS 4096
#define SHORT_ACTION -1
#define KILL_ACTION -2
#define NO_FAULT 0
#define NS_PER_S 1000000000L

enum call_kind {
    ACCEPT, SOCKET, CONNECT, RECV, SEND, RECV_OUTBOUND, SEND_OUTBOUND, WRITE, FSYNC, TRUNCATE, RENAME, CLOCK,
    CALL_KIND_COUNT
};

static const char *const call_kind_names[CALL_KIND_COUNT] = {
    "accept", "socket", "connect", "recv", "send", "uprecv", "upsend", "write", "fsync", "truncate", "rename",
    "clock"};

struct rule {
    enum call_kind kind;
    int action;
    long clock_offset_ms;
    int percent;
    long nth;
    long from_ms;
    long to_ms;
};

static const struct {
    const char *name;
    int number;
} errno_names[] = {
    {"EAGAIN", EAGAIN}, {"EINTR", EINTR}, {"ECONNABORTED", ECONNABORTED}, {"EMFILE", EMFILE},
    {"ENFILE", ENFILE}, {"ENOBUFS", ENOBUFS}, {"ENOMEM", ENOMEM}, {"EPROTO", EPROTO}, {"EPERM", EPERM},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL}, {"ENETUNREACH", ENETUNREACH}, {"EHOSTUNREACH", EHOSTUNREACH},
    {"ETIMEDOUT", ETIMEDOUT}, {"ECONNREFUSED", ECONNREFUSED}, {"ECONNRESET", ECONNRESET},
    {"EPIPE", EPIPE}, {"ENOSPC", ENOSPC}, {"EIO", EIO}, {"EDQUOT", EDQUOT}, {"ENETDOWN", ENETDOWN}};

static struct rule rules[MAX_RULES];
static int rule_count;
static const char *fault_folder;
static int count_file_fd = -1;
static struct timespec load_time;
static atomic_ulong random_state;
static atomic_long call_counts[CALL_KIND_COUNT];
static atomic_char outbound_sockets[MAX_TRACKED_FDS];

#define REAL_FUNCTION(name) ((__typeof__(&name)) real_function(#name))

static void *real_function(const char *name) {
    return dlsym(RTLD_NEXT, name);
}

static int real_clock_gettime(clockid_t id, struct timespec *to) {
    static __typeof__(&clock_gettime) call;
    if (!call) {
        call = REAL_FUNCTION(clock_gettime);
    }
    return call(id, to);
}

static long ms_since_load(void) {
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return (now.tv_sec - load_time.tv_sec) * 1000 + (now.tv_nsec - load_time.tv_nsec) / 1000000;
}

static _Noreturn void abort_on_malformed_rule(const char *rule_text) {
    fprintf(stderr, "syscall_faults: malformed rule '%s' or too many rules\n", rule_text);
    abort();
}

static int parse_action(const char *name, const char *rule_text) {
    if (!strcmp(name, "SHORT")) {
        return SHORT_ACTION;
    }
    if (!strcmp(name, "KILL")) {
        return KILL_ACTION;
    }
    for (size_t i = 0; i < sizeof errno_names / sizeof *errno_names; i++) {
        if (!strcmp(name, errno_names[i].name)) {
            return errno_names[i].number;
        }
    }
    abort_on_malformed_rule(rule_text);
}

static void parse_rule(const char *rule_text) {
    char call[16], action[24];
    int parsed_length = 0;
    if (rule_count == MAX_RULES
            || sscanf(rule_text, "%15[a-z]=%23[A-Z0-9+-]%n", call, action, &parsed_length) != 2) {
        abort_on_malformed_rule(rule_text);
    }
    struct rule *rule = &rules[rule_count++];
    *rule = (struct rule) {.kind = CALL_KIND_COUNT, .percent = 100, .to_ms = INT64_MAX};
    for (int i = 0; i < CALL_KIND_COUNT; i++) {
        if (!strcmp(call, call_kind_names[i])) {
            rule->kind = i;
        }
    }
    if (rule->kind == CALL_KIND_COUNT) {
        abort_on_malformed_rule(rule_text);
    }
    if (rule->kind == CLOCK) {
        rule->clock_offset_ms = atol(action);
    } else {
        rule->action = parse_action(action, rule_text);
    }
    for (const char *options = rule_text + parsed_length; *options; options += parsed_length) {
        if (sscanf(options, "@%d%n", &rule->percent, &parsed_length) != 1
                && sscanf(options, "#%ld%n", &rule->nth, &parsed_length) != 1
                && sscanf(options, ",%ld-%ld%n", &rule->from_ms, &rule->to_ms, &parsed_length) != 2) {
            abort_on_malformed_rule(rule_text);
        }
    }
}

__attribute__((constructor)) static void load(void) {
    real_clock_gettime(CLOCK_MONOTONIC, &load_time);
    fault_folder = getenv("FAULT_FOLDER");
    const char *seed_text = getenv("FAULT_SEED");
    atomic_store(&random_state, seed_text ? strtoul(seed_text, 0, 10) : 1);
    const char *count_path = getenv("FAULT_COUNT");
    if (count_path) {
        count_file_fd = REAL_FUNCTION(open)(count_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    }
    const char *rule_list = getenv("FAULTS");
    if (!rule_list) {
        return;
    }
    char *copy = strdup(rule_list);
    char *remaining = copy;
    for (char *rule_text = strsep(&remaining, ";"); rule_text; rule_text = strsep(&remaining, ";")) {
        if (*rule_text) {
            parse_rule(rule_text);
        }
    }
    free(copy);
}

/* Returns a pseudorandom number from 0 to 99 (splitmix64); the sequence depends only on FAULT_SEED. */
static int random_percent(void) {
    uint64_t z = atomic_fetch_add(&random_state, 0x9E3779B97F4A7C15ul) + 0x9E3779B97F4A7C15ul;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ul;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBul;
    return (int) ((z ^ (z >> 31)) % 100);
}

/* Counts a call and returns the errno or action of the first rule that applies to it, or NO_FAULT. */
static int next_fault(enum call_kind kind) {
    long call_number = atomic_fetch_add(&call_counts[kind], 1) + 1;
    for (int i = 0; i < rule_count; i++) {
        struct rule *rule = &rules[i];
        if (rule->kind != kind || (rule->nth && rule->nth != call_number)) {
            continue;
        }
        long now_ms = ms_since_load();
        if (now_ms < rule->from_ms || now_ms >= rule->to_ms
                || (rule->percent < 100 && random_percent() >= rule->percent)) {
            continue;
        }
        if (rule->action == KILL_ACTION) {
            kill(getpid(), SIGKILL);
        }
        return rule->action;
    }
    return NO_FAULT;
}

/* Like next_fault(), but for calls on files below FAULT_FOLDER; also appends a byte to the count file. */
static int next_file_fault(enum call_kind kind) {
    if (count_file_fd >= 0) {
        REAL_FUNCTION(write)(count_file_fd, &(char) {'a' + (char) kind}, 1);
    }
    return next_fault(kind);
}

static int is_socket(int fd) {
    struct stat status;
    return !fstat(fd, &status) && S_ISSOCK(status.st_mode);
}

static int is_below_fault_folder(const char *path) {
    return fault_folder && !strncmp(path, fault_folder, strlen(fault_folder));
}

/* Returns whether the descriptor is a file or directory below FAULT_FOLDER. */
static int is_fault_file(int fd) {
    struct stat status;
    if (!fault_folder || fd <= 2 || fstat(fd, &status) || S_ISSOCK(status.st_mode)
            || S_ISFIFO(status.st_mode)) {
        return 0;
    }
    char link[32], path[4096];
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, sizeof path - 1);
    if (length < 0) {
        return 0;
    }
    path[length] = 0;
    return is_below_fault_folder(path);
}

static int fail_with(int error) {
    errno = error;
    return -1;
}

/* ---- Calls on sockets */

/* Records whether this process has connected the socket; returns the socket's descriptor. */
static int set_outbound(int fd, char is_outbound) {
    if (fd >= 0 && fd < MAX_TRACKED_FDS) {
        atomic_store(&outbound_sockets[fd], is_outbound);
    }
    return fd;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    int error = next_fault(ACCEPT);
    return error > 0 ? fail_with(error) : set_outbound(REAL_FUNCTION(accept)(fd, address, length), 0);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    int error = next_fault(ACCEPT);
    return error > 0 ? fail_with(error)
            : set_outbound(REAL_FUNCTION(accept4)(fd, address, length, flags), 0);
}

int socket(int domain, int type, int protocol) {
    int error = domain == AF_INET || domain == AF_INET6 ? next_fault(SOCKET) : NO_FAULT;
    return error > 0 ? fail_with(error) : REAL_FUNCTION(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    int error = address->sa_family == AF_INET || address->sa_family == AF_INET6 ? next_fault(CONNECT)
            : NO_FAULT;
    set_outbound(fd, 1);
    if (error == EINTR) {
        /* After an interrupted connect, the kernel continues to establish the connection. */
        int result = REAL_FUNCTION(connect)(fd, address, length);
        return result && errno != EINPROGRESS ? result : fail_with(EINTR);
    }
    return error > 0 ? fail_with(error) : REAL_FUNCTION(connect)(fd, address, length);
}

/* Returns the number of bytes that a call on a socket may transfer, or -1 with errno set if it fails. */
static ssize_t socket_transfer_length(enum call_kind kind, int fd, size_t length) {
    int error = NO_FAULT;
    if (rule_count && is_socket(fd)) {
        error = next_fault(kind);
        if (error == NO_FAULT && fd < MAX_TRACKED_FDS && atomic_load(&outbound_sockets[fd])) {
            error = next_fault(kind == RECV ? RECV_OUTBOUND : SEND_OUTBOUND);
        }
    }
    if (error == SHORT_ACTION) {
        return length > 1 ? (ssize_t) (length + 1) / 2 : (ssize_t) length;
    }
    return error > 0 ? fail_with(error) : (ssize_t) length;
}

ssize_t read(int fd, void *to, size_t length) {
    ssize_t max_length = socket_transfer_length(RECV, fd, length);
    return max_length < 0 ? max_length : REAL_FUNCTION(read)(fd, to, (size_t) max_length);
}

ssize_t recv(int fd, void *to, size_t length, int flags) {
    ssize_t max_length = socket_transfer_length(RECV, fd, length);
    return max_length < 0 ? max_length : REAL_FUNCTION(recv)(fd, to, (size_t) max_length, flags);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    ssize_t max_length = socket_transfer_length(RECV, fd, parts[0].iov_len);
    return max_length < 0 ? max_length
            : REAL_FUNCTION(readv)(fd, parts, max_length == (ssize_t) parts[0].iov_len ? count : 1);
}

/* Returns the number of bytes that a write to a file may transfer, or -1 with errno set if it fails. */
static ssize_t file_transfer_length(int fd, size_t length) {
    int error = next_file_fault(WRITE);
    if (error == SHORT_ACTION) {
        return length > 1 ? (ssize_t) (length + 1) / 2 : (ssize_t) length;
    }
    (void) fd;
    return error > 0 ? fail_with(error) : (ssize_t) length;
}

ssize_t write(int fd, const void *from, size_t length) {
    ssize_t max_length = is_fault_file(fd) ? file_transfer_length(fd, length)
            : socket_transfer_length(SEND, fd, length);
    return max_length < 0 ? max_length : REAL_FUNCTION(write)(fd, from, (size_t) max_length);
}

ssize_t pwrite64(int fd, const void *from, size_t length, off64_t at) {
    ssize_t max_length = is_fault_file(fd) ? file_transfer_length(fd, length) : (ssize_t) length;
    return max_length < 0 ? max_length : REAL_FUNCTION(pwrite64)(fd, from, (size_t) max_length, at);
}

ssize_t send(int fd, const void *from, size_t length, int flags) {
    ssize_t max_length = socket_transfer_length(SEND, fd, length);
    return max_length < 0 ? max_length : REAL_FUNCTION(send)(fd, from, (size_t) max_length, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    size_t first_length = count > 0 ? parts[0].iov_len : 0;
    ssize_t max_length = is_fault_file(fd) ? file_transfer_length(fd, first_length)
            : socket_transfer_length(SEND, fd, first_length);
    if (max_length < 0) {
        return max_length;
    }
    if ((size_t) max_length == first_length) {
        return REAL_FUNCTION(writev)(fd, parts, count);
    }
    return REAL_FUNCTION(write)(fd, parts[0].iov_base, (size_t) max_length);
}

/* ---- Calls on files */

int fsync(int fd) {
    int error = is_fault_file(fd) ? next_file_fault(FSYNC) : NO_FAULT;
    return error > 0 ? fail_with(error) : REAL_FUNCTION(fsync)(fd);
}

int fdatasync(int fd) {
    int error = is_fault_file(fd) ? next_file_fault(FSYNC) : NO_FAULT;
    return error > 0 ? fail_with(error) : REAL_FUNCTION(fdatasync)(fd);
}

int ftruncate64(int fd, off64_t length) {
    int error = is_fault_file(fd) ? next_file_fault(TRUNCATE) : NO_FAULT;
    return error > 0 ? fail_with(error) : REAL_FUNCTION(ftruncate64)(fd, length);
}

int ftruncate(int fd, off_t length) {
    int error = is_fault_file(fd) ? next_file_fault(TRUNCATE) : NO_FAULT;
    return error > 0 ? fail_with(error) : REAL_FUNCTION(ftruncate)(fd, length);
}

int rename(const char *from, const char *to) {
    int error = is_below_fault_folder(from) ? next_file_fault(RENAME) : NO_FAULT;
    return error > 0 ? fail_with(error) : REAL_FUNCTION(rename)(from, to);
}

/* ---- Calls on the wall clock */

/* Adds the offsets of all clock rules that apply at present to a time. */
static void add_clock_offset(struct timespec *time) {
    long offset_ms = 0;
    for (int i = 0; i < rule_count; i++) {
        if (rules[i].kind == CLOCK) {
            long now_ms = ms_since_load();
            offset_ms += now_ms >= rules[i].from_ms && now_ms < rules[i].to_ms ? rules[i].clock_offset_ms : 0;
        }
    }
    long ns = time->tv_nsec + offset_ms % 1000 * 1000000;
    time->tv_sec += offset_ms / 1000 + (ns < 0 ? -1 : ns >= NS_PER_S ? 1 : 0);
    time->tv_nsec = (ns + NS_PER_S) % NS_PER_S;
}

int clock_gettime(clockid_t id, struct timespec *to) {
    int result = real_clock_gettime(id, to);
    if (!result && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
        add_clock_offset(to);
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
