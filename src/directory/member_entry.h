#ifndef DIRECTORY_MEMBER_ENTRY_H
#define DIRECTORY_MEMBER_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#define MEMBER_ID_BYTES 64
#define MEMBER_NAME_BYTES 64
#define MEMBER_HOST_BYTES 48

/* What a member says of itself in the directory. */
struct member_entry {
    char id[MEMBER_ID_BYTES];
    char service[MEMBER_NAME_BYTES];
    char host[MEMBER_HOST_BYTES];
    char failure_domain[MEMBER_NAME_BYTES];
    uint16_t port;
    int slots;
    bool draining;
    bool says_primary;  /* its own view of its role, which may be outdated */
    int64_t started_at; /* Unix milliseconds; differs after a restart */
};

#endif
