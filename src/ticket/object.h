#ifndef TICKET_OBJECT_H
#define TICKET_OBJECT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define TICKET_NAME_MAX_BYTES 63
#define TICKET_MEMBERS_MAX 16
#define TICKET_KINDS_MAX 32
/* 15 digits, so that a JSON number (a double) represents it exactly. */
#define TICKET_NUMBER_MAX 999999999999999ULL

/* Why a text was rejected. group and key are empty if they do not apply. */
struct ticket_error {
    char group[96];
    char key[96];
    char reason[192];
};

enum ticket_object_type {
    TICKET_DATABASE,
    TICKET_SHARES,
    TICKET_STALENESS,
};

struct ticket_member {
    char *host; /* numeric address, IPv6 without brackets */
    int port;
    char *domain; /* failure domain */
};

/* One caller kind in a shares or staleness object. */
struct ticket_kind_value {
    char *kind;
    int64_t floor;        /* shares: guaranteed connections */
    int64_t weight;       /* shares: weight for the remaining connections */
    int64_t staleness_ms; /* staleness: maximum */
};

/* The complete definition of an object by one ticket. Reference-counted and
   immutable after creation. */
struct ticket_object {
    int refs;
    enum ticket_object_type type;
    char *name;
    uint64_t number; /* of the ticket that defined it */
    bool removed;    /* tombstone: the fields below are not set */

    struct ticket_member *members;
    size_t n_members;
    int64_t slots;
    int64_t connections;
    int64_t connect_timeout_ms;
    char *user;

    struct ticket_kind_value *kinds; /* sorted by name */
    size_t n_kinds;
};

const char *ticket_type_name(enum ticket_object_type type);
bool ticket_name_valid(const char *name);
void ticket_error_set(struct ticket_error *err, const char *group,
                      const char *key, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/* Parsing of the INI text of tickets and snapshots. */
bool ticket_group_is_object(const char *group);
bool ticket_ini_parse(const char *text, size_t n, size_t max_bytes,
                      GKeyFile **out, struct ticket_error *err);
bool ticket_ini_read_int(GKeyFile *file, const char *group, const char *key,
                         int64_t min, int64_t max, int64_t *out,
                         struct ticket_error *err);

struct ticket_object *ticket_object_read(GKeyFile *file, const char *group,
                                         bool with_number, uint64_t number,
                                         struct ticket_error *err);
void ticket_object_write(const struct ticket_object *o, bool with_number,
                         GString *out);
struct ticket_object *ticket_object_ref(struct ticket_object *o);
void ticket_object_unref(struct ticket_object *o);
int ticket_object_compare(const struct ticket_object *a,
                          const struct ticket_object *b);
int64_t ticket_object_floor_sum(const struct ticket_object *o);

#endif
