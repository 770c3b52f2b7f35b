#ifndef DIRECTORY_MEMBER_ENTRY_H
#define DIRECTORY_MEMBER_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#define MEMBER_ID_BYTES 64
#define MEMBER_NAME_BYTES 64
#define MEMBER_HOST_BYTES 48

/* A member's entry in the directory, written by the member itself. */
struct member_entry {
    char id[MEMBER_ID_BYTES];
    char service[MEMBER_NAME_BYTES];
    char host[MEMBER_HOST_BYTES];
    char failure_domain[MEMBER_NAME_BYTES];
    uint16_t port;
    int slots; /* statements that the member executes at the same time */
    bool draining;
    bool says_primary;  /* role reported by the member; may be outdated */
    int64_t started_at; /* Unix time in ms; changes with a restart */
};

#endif
