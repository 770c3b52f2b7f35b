#ifndef LOAD_PID_USAGE_H
#define LOAD_PID_USAGE_H

#include <stdint.h>

int64_t pid_resident_bytes(int pid);
int64_t pid_cpu_us(int pid);

#endif
