#ifndef CAPACITY_USAGE_H
#define CAPACITY_USAGE_H

double usage_cpu_us(void);
double usage_heap_bytes(void);

#endif
