/*
 * Delays each sync of a file or folder of the process that it is preloaded into; SLOW_SYNC_MS says by how much. If SLOW_SYNC_LOCK
 * names a file, the delays of all processes with that file come one after the other, as on a disk that they share.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <stdlib.h>
#include <sys/file.h>
#include <unistd.h>

static void delay(void) {
    const char *ms = getenv("SLOW_SYNC_MS");
    const char *lock = getenv("SLOW_SYNC_LOCK");
    int fd = lock ? open(lock, O_CREAT | O_RDWR, 0600) : -1;
    if (fd >= 0) {
        flock(fd, LOCK_EX);
    }
    if (ms) {
        usleep((useconds_t) atoi(ms) * 1000);
    }
    if (fd >= 0) {
        close(fd);
    }
}

int fsync(int fd) {
    delay();
    return ((int (*)(int)) dlsym(RTLD_NEXT, "fsync"))(fd);
}

int fdatasync(int fd) {
    delay();
    return ((int (*)(int)) dlsym(RTLD_NEXT, "fdatasync"))(fd);
}
