#ifndef BASE_LISTENER_H
#define BASE_LISTENER_H

#include <stdint.h>

int listener_open(const char *host, uint16_t port);

#endif
