#include "daemon/vms.h"

#include "cloud/client.h"

#include <string.h>

#define LOG_MODULE "vms"
#include "base/log.h"

/* New work for a member must stop within 3 s after its VM is listed as
   leaving. */
#define VMS_INTERVAL_MS 1000

/* Limit of reads of the list by all proxies together, a tenth of the read rate
   that the store allows. */
#define VMS_FLEET_READS_PER_S 200
#define VMS_TICK_S 0.1

struct vms {
    struct ev_loop *loop;
    const struct settings *settings;
    struct group **groups;
    struct cloud_client *cloud;
    struct rng rng;
    ev_timer tick;
    clock_ms next_read_at;
    bool read_in_progress;
};

/* Compares a VM's address with a member's. It is an IP number, or "IP:PORT"
   where several members share an IP number. */
static bool
address_matches(const char *address, const struct settings_address *a)
{
    char text[64];

    if (strcmp(address, a->host) == 0) {
        return true;
    }
    g_snprintf(text, sizeof(text), "%s:%u", a->host, a->port);
    return strcmp(address, text) == 0;
}

/* Returns the VM of a member, or NULL when the list does not contain it. */
static const struct cloud_vm *
find_vm(const struct cloud_result *r, const struct settings_address *a)
{
    for (size_t i = 0; i < r->n_vms; i++) {
        if (address_matches(r->vms[i].address, a)) {
            return &r->vms[i];
        }
    }
    return NULL;
}

/* Marks the members whose VM is leaving. A member without an entry keeps its
   mark: the list lags, so its entry may not have appeared yet or may be gone
   already. */
static void
on_vm_list(void *ctx, const struct cloud_result *r)
{
    struct vms *v = ctx;

    v->read_in_progress = false;
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

/* Returns the time until the next read by this proxy. */
static clock_ms
read_interval_ms(struct vms *v)
{
    const clock_ms shared =
        (clock_ms)(v->settings->peer_count + 1) * 1000 / VMS_FLEET_READS_PER_S;
    const clock_ms base = MAX(VMS_INTERVAL_MS, shared);

    /* Jitter of a tenth, so that proxies do not read at the same time. */
    return base - base / 10 +
           (clock_ms)rng_below(&v->rng, (uint64_t)base / 5 + 1);
}

static void
on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct vms *v = w->data;
    const clock_ms now = clock_monotonic_ms();

    (void)loop;
    (void)revents;
    if (now < v->next_read_at || v->read_in_progress) {
        return;
    }
    v->next_read_at = now + read_interval_ms(v);
    v->read_in_progress = true;
    cloud_vm_list(v->cloud, 1, on_vm_list, v);
}

/* Starts polling. Returns NULL when the settings have no vms_url. */
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
    rng_seed(&v->rng, (uint64_t)clock_monotonic_us() ^ (uint64_t)s->id << 48);
    v->cloud =
        cloud_client_create(loop,
                            &(struct cloud_settings){
                                .table_url = s->table_url,
                                .object_url = s->object_url,
                                .vms_url = s->vms_url,
                                .timeout_ms = (int)s->platform_timeout_ms,
                            },
                            rng_next(&v->rng));
    ev_timer_init(&v->tick, on_timer, 0.0, VMS_TICK_S);
    v->tick.data = v;
    ev_timer_start(loop, &v->tick);
    return v;
}

/* Stops polling; v may be NULL. */
void
vms_destroy(struct vms *v)
{
    if (v == NULL) {
        return;
    }
    ev_timer_stop(v->loop, &v->tick);
    cloud_client_destroy(v->cloud);
    g_free(v);
}
