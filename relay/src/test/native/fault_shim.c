/*
 * Makes system calls of one process fail, and steps its wall clock, for tests. Loaded by LD_PRELOAD. What is to happen
 * stands in the file named by FAULT_CONTROL, one "name=value" a line, read anew at each call:
 *
 *   folder=PATH        calls on files below it are the ones that fail
 *   open|read|write|rename|truncate=ERRNO   the number with which such a call fails; "open" only when it would write
 *   partial=1          a write that fails takes half of its bytes first
 *   wall_step=SECONDS  what is added to CLOCK_REALTIME
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define CONTROL_BYTES 4096

static int read_control(char *text) {
    const char *path = getenv("FAULT_CONTROL");
    if (path == NULL) {
        return 0;
    }
    long fd = syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        return 0;
    }
    long length = syscall(SYS_read, fd, text, CONTROL_BYTES - 1);
    syscall(SYS_close, fd);
    text[length > 0 ? length : 0] = '\0';
    return length > 0;
}

/* Copies the value of a name; 0 where the control file has none. */
static int value_of(const char *text, const char *name, char *value, size_t size) {
    size_t length = strlen(name);
    for (const char *line = text; line != NULL && *line != '\0';) {
        const char *end = strchr(line, '\n');
        size_t line_length = end != NULL ? (size_t) (end - line) : strlen(line);
        if (line_length > length && strncmp(line, name, length) == 0 && line[length] == '=') {
            snprintf(value, size, "%.*s", (int) (line_length - length - 1), line + length + 1);
            return 1;
        }
        line = end != NULL ? end + 1 : NULL;
    }
    return 0;
}

static long number_of(const char *text, const char *name) {
    char value[64];
    return value_of(text, name, value, sizeof value) ? strtol(value, NULL, 10) : 0;
}

static int is_below(const char *text, const char *path) {
    char folder[PATH_MAX];
    return value_of(text, "folder", folder, sizeof folder) && strncmp(path, folder, strlen(folder)) == 0;
}

/* The errno with which this call on a path is to fail, or 0. */
static int fault_at(const char *call, const char *path) {
    char text[CONTROL_BYTES];
    if (path == NULL || !read_control(text) || !is_below(text, path)) {
        return 0;
    }
    return (int) number_of(text, call);
}

static int fault_on(const char *call, int fd, int *partial) {
    char text[CONTROL_BYTES];
    char link[64];
    char path[PATH_MAX];
    if (!read_control(text) || number_of(text, call) == 0) {
        return 0;
    }
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    long length = syscall(SYS_readlinkat, AT_FDCWD, link, path, sizeof path - 1);
    if (length <= 0) {
        return 0;
    }
    path[length] = '\0';
    if (!is_below(text, path)) {
        return 0;
    }
    if (partial != NULL) {
        *partial = number_of(text, "partial") != 0;
    }
    return (int) number_of(text, call);
}

static int fail(int error) {
    errno = error;
    return -1;
}

static int open_at(int at, const char *path, int flags, int mode) {
    int error = (flags & O_ACCMODE) != O_RDONLY ? fault_at("open", path) : 0;
    if (error != 0) {
        return fail(error);
    }
    return (int) syscall(SYS_openat, at, path, flags, mode);
}

static int mode_of(int flags, va_list rest) {
    return (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(rest, int) : 0;
}

#define DEFINE_OPEN(name) \
    int name(const char *path, int flags, ...) { \
        va_list rest; \
        va_start(rest, flags); \
        int mode = mode_of(flags, rest); \
        va_end(rest); \
        return open_at(AT_FDCWD, path, flags, mode); \
    }

#define DEFINE_OPENAT(name) \
    int name(int at, const char *path, int flags, ...) { \
        va_list rest; \
        va_start(rest, flags); \
        int mode = mode_of(flags, rest); \
        va_end(rest); \
        return open_at(at, path, flags, mode); \
    }

DEFINE_OPEN(open)
DEFINE_OPEN(open64)
DEFINE_OPENAT(openat)
DEFINE_OPENAT(openat64)

ssize_t write(int fd, const void *bytes, size_t count) {
    int partial = 0;
    int error = fault_on("write", fd, &partial);
    if (error != 0) {
        if (partial) {
            syscall(SYS_write, fd, bytes, count / 2);
        }
        return fail(error);
    }
    return syscall(SYS_write, fd, bytes, count);
}

static ssize_t write_at(int fd, const void *bytes, size_t count, off64_t at) {
    int partial = 0;
    int error = fault_on("write", fd, &partial);
    if (error != 0) {
        if (partial) {
            syscall(SYS_pwrite64, fd, bytes, count / 2, at);
        }
        return fail(error);
    }
    return syscall(SYS_pwrite64, fd, bytes, count, at);
}

ssize_t pwrite(int fd, const void *bytes, size_t count, off_t at) {
    return write_at(fd, bytes, count, at);
}

ssize_t pwrite64(int fd, const void *bytes, size_t count, off64_t at) {
    return write_at(fd, bytes, count, at);
}

ssize_t read(int fd, void *bytes, size_t count) {
    int error = fault_on("read", fd, NULL);
    return error != 0 ? fail(error) : syscall(SYS_read, fd, bytes, count);
}

ssize_t pread64(int fd, void *bytes, size_t count, off64_t at) {
    int error = fault_on("read", fd, NULL);
    return error != 0 ? fail(error) : syscall(SYS_pread64, fd, bytes, count, at);
}

int ftruncate64(int fd, off64_t length) {
    int error = fault_on("truncate", fd, NULL);
    return error != 0 ? fail(error) : (int) syscall(SYS_ftruncate, fd, length);
}

int rename(const char *from, const char *to) {
    int error = fault_at("rename", from);
    return error != 0 ? fail(error) : (int) syscall(SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0);
}

static long wall_step(void) {
    char text[CONTROL_BYTES];
    return read_control(text) ? number_of(text, "wall_step") : 0;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = (int) syscall(SYS_clock_gettime, clock, time);
    if (result == 0 && clock == CLOCK_REALTIME) {
        time->tv_sec += wall_step();
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    int result = (int) syscall(SYS_gettimeofday, time, zone);
    if (result == 0) {
        time->tv_sec += wall_step();
    }
    return result;
}
