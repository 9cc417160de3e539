/*
 * Makes system calls of the process that it is loaded into fail, in the ways that Linux documents.
 * Loaded by LD_PRELOAD into managers under test only; built by firstage.fixtures.SystemCallFaults.
 *
 * The environment variable SYSCALL_FAULTS names a file of WORDS 32-bit words, mapped shared:
 * words 0 to 8 are settings, written by the test while the process runs; from word 16 on this
 * library counts the faults that it caused, by kind. SYSCALL_FAULTS_SEED seeds the draws, and
 * SYSCALL_FAULTS_FOLDER names the folder whose files fail.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define WORDS 64
#define MAX_DESCRIPTORS 4096

/* Settings: permille of the calls that fail, but for the clock step, in seconds. */
enum { ACCEPT, SOCKET, CONNECT, WAIT, SHORT_READ, SHORT_WRITE, BREAK, CLOCK_STEP, FILES };

/* Counts of caused faults start here, in the order of the settings. */
#define COUNTS 16

static volatile int32_t *page;
static uint64_t random_state = 88172645463325252ull;
static const char *folder;

/* Sockets that this process connected: only they are broken, as a peer that is unreachable is. */
static volatile char connected[MAX_DESCRIPTORS];

/* Files below the folder that are open. */
static volatile char lasting[MAX_DESCRIPTORS];

__attribute__((constructor)) static void start(void) {
  const char *path = getenv("SYSCALL_FAULTS");
  const char *seed = getenv("SYSCALL_FAULTS_SEED");
  folder = getenv("SYSCALL_FAULTS_FOLDER");
  if (seed != NULL) {
    random_state ^= strtoull(seed, NULL, 10) * 0x9E3779B97F4A7C15ull;
  }
  if (path == NULL) {
    return;
  }
  int file = open(path, O_RDWR);
  if (file < 0) {
    return;
  }
  void *mapped = mmap(NULL, WORDS * 4, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  close(file);
  page = mapped == MAP_FAILED ? NULL : mapped;
}

static uint64_t next_random(void) {
  uint64_t x = __atomic_load_n(&random_state, __ATOMIC_RELAXED);
  x ^= x << 13;
  x ^= x >> 7;
  x ^= x << 17;
  __atomic_store_n(&random_state, x, __ATOMIC_RELAXED);
  return x >> 11;
}

static int fails(int kind) {
  if (page == NULL || page[kind] <= 0 || (int32_t)(next_random() % 1000) >= page[kind]) {
    return 0;
  }
  __atomic_add_fetch(&page[COUNTS + kind], 1, __ATOMIC_RELAXED);
  return 1;
}

static int one_of(const int *errors, int count) {
  errno = errors[next_random() % count];
  return -1;
}

#define REAL(result, name, ...)                                   \
  static result (*real)(__VA_ARGS__);                             \
  if (real == NULL) {                                             \
    real = (result(*)(__VA_ARGS__))dlsym(RTLD_NEXT, name);        \
  }

static int is_socket(int fd) {
  struct stat status;
  return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
  REAL(int, "accept", int, struct sockaddr *, socklen_t *)
  if (fails(ACCEPT)) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE};
    return one_of(errors, 4);
  }
  int accepted = real(fd, address, length);
  if (accepted >= 0 && accepted < MAX_DESCRIPTORS) {
    connected[accepted] = 0;
  }
  return accepted;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
  REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int)
  if (fails(ACCEPT)) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE};
    return one_of(errors, 4);
  }
  int accepted = real(fd, address, length, flags);
  if (accepted >= 0 && accepted < MAX_DESCRIPTORS) {
    connected[accepted] = 0;
  }
  return accepted;
}

int socket(int domain, int type, int protocol) {
  REAL(int, "socket", int, int, int)
  if ((type & 0xF) == SOCK_STREAM && fails(SOCKET)) {
    static const int errors[] = {ENFILE, ENOBUFS};
    return one_of(errors, 2);
  }
  int fd = real(domain, type, protocol);
  if (fd >= 0 && fd < MAX_DESCRIPTORS) {
    connected[fd] = 0;
  }
  return fd;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
  REAL(int, "connect", int, const struct sockaddr *, socklen_t)
  if (fails(CONNECT)) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ECONNABORTED};
    return one_of(errors, 4);
  }
  if (fd >= 0 && fd < MAX_DESCRIPTORS) {
    connected[fd] = 1;
  }
  return real(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout) {
  REAL(int, "epoll_wait", int, struct epoll_event *, int, int)
  if (fails(WAIT)) {
    errno = EINTR;
    return -1;
  }
  return real(fd, events, count, timeout);
}

/* Breaks a connection for good: later calls find its end. */
static int breaks(int fd) {
  if (fd < 0 || fd >= MAX_DESCRIPTORS || !connected[fd] || !is_socket(fd) || !fails(BREAK)) {
    return 0;
  }
  static const int errors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
  shutdown(fd, SHUT_RDWR);
  one_of(errors, 3);
  return 1;
}

ssize_t read(int fd, void *buffer, size_t count) {
  REAL(ssize_t, "read", int, void *, size_t)
  if (breaks(fd)) {
    return -1;
  }
  if (count > 1 && page != NULL && page[SHORT_READ] > 0 && is_socket(fd) && fails(SHORT_READ)) {
    if (next_random() % 4 == 0) {
      errno = EINTR;
      return -1;
    }
    count = 1 + next_random() % (count < 64 ? count : 64);
  }
  return real(fd, buffer, count);
}

ssize_t write(int fd, const void *buffer, size_t count) {
  REAL(ssize_t, "write", int, const void *, size_t)
  if (fd >= 0 && fd < MAX_DESCRIPTORS && lasting[fd] && fails(FILES)) {
    static const int errors[] = {ENOSPC, EIO};
    if (count > 1 && next_random() % 2 == 0) {
      return real(fd, buffer, 1 + next_random() % (count - 1));
    }
    return one_of(errors, 2);
  }
  if (breaks(fd)) {
    return -1;
  }
  if (count > 1 && page != NULL && page[SHORT_WRITE] > 0 && is_socket(fd) && fails(SHORT_WRITE)) {
    uint64_t draw = next_random() % 4;
    if (draw == 0) {
      errno = EINTR;
      return -1;
    }
    if (draw == 1) {
      errno = EAGAIN;
      return -1;
    }
    count = 1 + next_random() % (count - 1);
  }
  return real(fd, buffer, count);
}

static int below_folder(const char *path) {
  return folder != NULL && path != NULL && strncmp(path, folder, strlen(folder)) == 0;
}

int open64(const char *path, int flags, ...) {
  REAL(int, "open64", const char *, int, ...)
  mode_t mode = 0;
  if (flags & (O_CREAT | __O_TMPFILE)) {
    va_list arguments;
    va_start(arguments, flags);
    mode = va_arg(arguments, mode_t);
    va_end(arguments);
  }
  int fd = real(path, flags, mode);
  if (fd >= 0 && fd < MAX_DESCRIPTORS) {
    lasting[fd] = (flags & O_ACCMODE) != O_RDONLY && below_folder(path);
    connected[fd] = 0;
  }
  return fd;
}

int fsync(int fd) {
  REAL(int, "fsync", int)
  if (fd >= 0 && fd < MAX_DESCRIPTORS && lasting[fd] && fails(FILES)) {
    static const int errors[] = {EIO, ENOSPC};
    return one_of(errors, 2);
  }
  return real(fd);
}

int fdatasync(int fd) {
  REAL(int, "fdatasync", int)
  if (fd >= 0 && fd < MAX_DESCRIPTORS && lasting[fd] && fails(FILES)) {
    static const int errors[] = {EIO, ENOSPC};
    return one_of(errors, 2);
  }
  return real(fd);
}

int close(int fd) {
  REAL(int, "close", int)
  if (fd >= 0 && fd < MAX_DESCRIPTORS) {
    connected[fd] = 0;
    lasting[fd] = 0;
  }
  return real(fd);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
  REAL(int, "clock_gettime", clockid_t, struct timespec *)
  int result = real(clock, time);
  if (result == 0 && clock == CLOCK_REALTIME && page != NULL) {
    time->tv_sec += page[CLOCK_STEP];
  }
  return result;
}

int gettimeofday(struct timeval *time, void *zone) {
  REAL(int, "gettimeofday", struct timeval *, void *)
  int result = real(time, zone);
  if (result == 0 && page != NULL) {
    time->tv_sec += page[CLOCK_STEP];
  }
  return result;
}
