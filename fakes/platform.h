#ifndef FAKES_PLATFORM_H
#define FAKES_PLATFORM_H

#include <stdint.h>

/* Stand-in for the table service, the object store and the VM list. It
   serves on 127.0.0.1 with threads of its own. */
struct fake_platform;

/* Port 0 takes a free port. Returns NULL when the port cannot be had. */
struct fake_platform *fake_platform_start(uint16_t port);
uint16_t fake_platform_port(const struct fake_platform *f);
void fake_platform_stop(struct fake_platform *f);

#endif
