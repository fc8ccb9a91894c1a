/*
 * Fault injection library for tests, loaded with LD_PRELOAD. It makes selected system calls of one process fail and
 * offsets that process's wall clock. The environment variable FAULT_CONTROL names the control file, which holds one
 * "name=value" setting per line and is read again on every intercepted call, so a test can change the faults while
 * the process runs:
 *
 *   folder=PATH        Only calls on files whose path starts with PATH fail.
 *   open|read|write|rename|truncate=ERRNO   The call fails with this errno. "open" fails only when opening for writing.
 *   partial=1          A failing write first writes half of its bytes.
 *   wall_step=SECONDS  This offset is added to CLOCK_REALTIME and gettimeofday.
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

/*
 * Reads the control file into a buffer of CONTROL_BYTES; returns 0 if there is no readable content. It uses raw system
 * calls because the libc functions are intercepted here.
 */
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

/* Copies the value of a setting into value; returns 0 if the control text does not contain the setting. */
static int copy_setting(const char *text, const char *name, char *value, size_t size) {
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

/* Returns a setting as a number, or 0 if the control text does not contain it. */
static long numeric_setting(const char *text, const char *name) {
    char value[64];
    return copy_setting(text, name, value, sizeof value) ? strtol(value, NULL, 10) : 0;
}

/* Reports whether the path starts with the "folder" setting. */
static int is_in_faulty_folder(const char *text, const char *path) {
    char folder[PATH_MAX];
    return copy_setting(text, "folder", folder, sizeof folder) && strncmp(path, folder, strlen(folder)) == 0;
}

/* Returns the errno with which the call on this path must fail, or 0 if it must not fail. */
static int fault_for_path(const char *call, const char *path) {
    char text[CONTROL_BYTES];
    if (path == NULL || !read_control(text) || !is_in_faulty_folder(text, path)) {
        return 0;
    }
    return (int) numeric_setting(text, call);
}

/*
 * Returns the errno with which the call on this file descriptor must fail, or 0 if it must not fail. For a failing
 * call, also stores the "partial" setting if partial is not NULL.
 */
static int fault_for_fd(const char *call, int fd, int *partial) {
    char text[CONTROL_BYTES];
    char fd_link[64];
    char path[PATH_MAX];
    if (!read_control(text) || numeric_setting(text, call) == 0) {
        return 0;
    }
    snprintf(fd_link, sizeof fd_link, "/proc/self/fd/%d", fd);
    long length = syscall(SYS_readlinkat, AT_FDCWD, fd_link, path, sizeof path - 1);
    if (length <= 0) {
        return 0;
    }
    path[length] = '\0';
    if (!is_in_faulty_folder(text, path)) {
        return 0;
    }
    if (partial != NULL) {
        *partial = numeric_setting(text, "partial") != 0;
    }
    return (int) numeric_setting(text, call);
}

static int fail_with(int error) {
    errno = error;
    return -1;
}

static int open_file_at(int directory_fd, const char *path, int flags, int mode) {
    int error = (flags & O_ACCMODE) != O_RDONLY ? fault_for_path("open", path) : 0;
    if (error != 0) {
        return fail_with(error);
    }
    return (int) syscall(SYS_openat, directory_fd, path, flags, mode);
}

static int read_mode(int flags, va_list arguments) {
    return (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(arguments, int) : 0;
}

#define DEFINE_OPEN(name) \
    int name(const char *path, int flags, ...) { \
        va_list arguments; \
        va_start(arguments, flags); \
        int mode = read_mode(flags, arguments); \
        va_end(arguments); \
        return open_file_at(AT_FDCWD, path, flags, mode); \
    }

#define DEFINE_OPENAT(name) \
    int name(int directory_fd, const char *path, int flags, ...) { \
        va_list arguments; \
        va_start(arguments, flags); \
        int mode = read_mode(flags, arguments); \
        va_end(arguments); \
        return open_file_at(directory_fd, path, flags, mode); \
    }

DEFINE_OPEN(open)
DEFINE_OPEN(open64)
DEFINE_OPENAT(openat)
DEFINE_OPENAT(openat64)

ssize_t write(int fd, const void *bytes, size_t count) {
    int partial = 0;
    int error = fault_for_fd("write", fd, &partial);
    if (error != 0) {
        if (partial) {
            syscall(SYS_write, fd, bytes, count / 2);
        }
        return fail_with(error);
    }
    return syscall(SYS_write, fd, bytes, count);
}

static ssize_t write_at(int fd, const void *bytes, size_t count, off64_t offset) {
    int partial = 0;
    int error = fault_for_fd("write", fd, &partial);
    if (error != 0) {
        if (partial) {
            syscall(SYS_pwrite64, fd, bytes, count / 2, offset);
        }
        return fail_with(error);
    }
    return syscall(SYS_pwrite64, fd, bytes, count, offset);
}

ssize_t pwrite(int fd, const void *bytes, size_t count, off_t offset) {
    return write_at(fd, bytes, count, offset);
}

ssize_t pwrite64(int fd, const void *bytes, size_t count, off64_t offset) {
    return write_at(fd, bytes, count, offset);
}

ssize_t read(int fd, void *bytes, size_t count) {
    int error = fault_for_fd("read", fd, NULL);
    return error != 0 ? fail_with(error) : syscall(SYS_read, fd, bytes, count);
}

ssize_t pread64(int fd, void *bytes, size_t count, off64_t offset) {
    int error = fault_for_fd("read", fd, NULL);
    return error != 0 ? fail_with(error) : syscall(SYS_pread64, fd, bytes, count, offset);
}

int ftruncate64(int fd, off64_t length) {
    int error = fault_for_fd("truncate", fd, NULL);
    return error != 0 ? fail_with(error) : (int) syscall(SYS_ftruncate, fd, length);
}

int rename(const char *from, const char *to) {
    int error = fault_for_path("rename", from);
    return error != 0 ? fail_with(error) : (int) syscall(SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0);
}

/* Returns the offset of the wall clock in seconds. */
static long wall_step(void) {
    char text[CONTROL_BYTES];
    return read_control(text) ? numeric_setting(text, "wall_step") : 0;
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
