#ifndef CAPACITY_PROCESS_USAGE_H
#define CAPACITY_PROCESS_USAGE_H

double process_cpu_us(void);
double process_heap_bytes(void);

#endif
