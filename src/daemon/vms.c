#include "daemon/vms.h"

#include "cloud/client.h"

#include <string.h>

#define LOG_MODULE "vms"
#include "base/log.h"

/* A leaving member must get no new work 3 s after it is listed. */
#define VMS_INTERVAL_MS 1000

/* The list is read at most this often by all proxies together, a tenth of what
   the store gives to reads. */
#define VMS_FLEET_READS_PER_S 200
#define VMS_TICK_S 0.1

struct vms {
    struct ev_loop *loop;
    const struct settings *settings;
    struct group **groups;
    struct cloud_client *platform;
    struct rng rng;
    ev_timer tick;
    clock_ms next;
    bool reading;
};

/* Tells whether a VM's address is a member's: its IP number, or its IP number
   and port where several members share one. */
static bool
is_member(const char *address, const struct settings_address *a)
{
    char text[64];

    if (strcmp(address, a->host) == 0) {
        return true;
    }
    g_snprintf(text, sizeof(text), "%s:%u", a->host, a->port);
    return strcmp(address, text) == 0;
}

/* Finds the VM of a member; NULL when the list does not have it. */
static const struct cloud_vm *
find_vm(const struct cloud_result *r, const struct settings_address *a)
{
    for (size_t i = 0; i < r->n_vms; i++) {
        if (is_member(r->vms[i].address, a)) {
            return &r->vms[i];
        }
    }
    return NULL;
}

/* Takes the list. A member that it lacks keeps its mark, since the list lags
   and may not have it yet, or not any more. */
static void
on_list(void *ctx, const struct cloud_result *r)
{
    struct vms *v = ctx;

    v->reading = false;
    if (r->outcome != CLOUD_DONE || r->status != 200) {
        return;
    }
    for (int i = 0; i < v->settings->database_count; i++) {
        const struct settings_database *d = &v->settings->databases[i];
        for (int m = 0; m < d->member_count; m++) {
            const struct cloud_vm *vm = find_vm(r, &d->members[m].address);
            if (vm != NULL) {
                group_set_leaving(v->groups[i], m, vm->leaving);
            }
        }
    }
}

/* Returns the time between two reads of one proxy. */
static clock_ms
interval_ms(struct vms *v)
{
    const clock_ms shared =
        (clock_ms)(v->settings->peer_count + 1) * 1000 / VMS_FLEET_READS_PER_S;
    const clock_ms base = MAX(VMS_INTERVAL_MS, shared);

    /* Spread by a tenth, so that proxies do not read in step. */
    return base - base / 10 +
           (clock_ms)rng_below(&v->rng, (uint64_t)base / 5 + 1);
}

/* Reads the list when it is due. */
static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct vms *v = w->data;
    const clock_ms now = clock_now();

    (void)loop;
    (void)revents;
    if (now < v->next || v->reading) {
        return;
    }
    v->next = now + interval_ms(v);
    v->reading = true;
    cloud_vms(v->platform, 1, on_list, v);
}

/* Begins to follow the list; NULL when the settings name none. */
struct vms *
vms_create(struct ev_loop *loop, const struct settings *s,
           struct group **groups)
{
    if (s->vms_url == NULL) {
        return NULL;
    }
    struct vms *v = g_new0(struct vms, 1);
    v->loop = loop;
    v->settings = s;
    v->groups = groups;
    rng_seed(&v->rng, (uint64_t)clock_now_us() ^ (uint64_t)s->id << 48);
    v->platform =
        cloud_client_new(loop,
                         &(struct platform_settings){
                             .table_url = s->table_url,
                             .object_url = s->object_url,
                             .vms_url = s->vms_url,
                             .timeout_ms = (int)s->platform_timeout_ms,
                         },
                         rng_next(&v->rng));
    ev_timer_init(&v->tick, on_tick, 0.0, VMS_TICK_S);
    v->tick.data = v;
    ev_timer_start(loop, &v->tick);
    return v;
}

/* Stops; NULL is allowed. */
void
vms_destroy(struct vms *v)
{
    if (v == NULL) {
        return;
    }
    ev_timer_stop(v->loop, &v->tick);
    cloud_client_free(v->platform);
    g_free(v);
}
