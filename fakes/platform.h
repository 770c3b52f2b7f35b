#ifndef FAKES_PLATFORM_H
#define FAKES_PLATFORM_H

#include <stdint.h>

/* HTTP stand-in for the table service, the object store and the VM list. It
   listens on 127.0.0.1 and runs its own threads. */
struct fake_platform;

/* Port 0 selects a free port. Returns NULL if the server cannot listen. */
struct fake_platform *fake_platform_start(uint16_t port);
uint16_t fake_platform_port(const struct fake_platform *f);
void fake_platform_stop(struct fake_platform *f);

#endif
