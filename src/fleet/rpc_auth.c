#include "fleet/rpc_auth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <string.h>

struct rpc_keys {
    struct {
        uint8_t bytes[RPC_KEY_MAX_BYTES];
        size_t n;
    } key[RPC_KEYS_MAX];
    int count;
};

/* Creates an empty key set. It can neither sign nor verify. */
struct rpc_keys *
rpc_keys_create(void)
{
    return g_new0(struct rpc_keys, 1);
}

/* Erases the keys from memory and frees the set. */
void
rpc_keys_destroy(struct rpc_keys *k)
{
    if (k) {
        OPENSSL_cleanse(k, sizeof(*k));
        g_free(k);
    }
}

/* Replaces the keys; may be called while the set is in use. The first key
   signs, all are accepted. Returns false and leaves the set unchanged unless
   there are one or two keys of 32 to 256 bytes. */
bool
rpc_keys_set(struct rpc_keys *k, const struct sview *keys, size_t n)
{
    if (n < 1 || n > RPC_KEYS_MAX) {
        return false;
    }
    for (size_t i = 0; i < n; i++) {
        if (keys[i].n < RPC_KEY_MIN_BYTES || keys[i].n > RPC_KEY_MAX_BYTES) {
            return false;
        }
    }
    OPENSSL_cleanse(k, sizeof(*k));
    for (size_t i = 0; i < n; i++) {
        memcpy(k->key[i].bytes, keys[i].p, keys[i].n);
        k->key[i].n = keys[i].n;
    }
    k->count = (int)n;
    return true;
}

/* Reads a key file with one key per line; lines that start with '#' are
   comments. On failure, sets *error to a message to be freed with g_free,
   which never contains a key. */
bool
rpc_keys_load(struct rpc_keys *k, const char *path, char **error)
{
    char *text = NULL;
    gsize size = 0;
    GError *ge = NULL;
    struct sview keys[RPC_KEYS_MAX + 1];
    size_t n = 0;

    if (!g_file_get_contents(path, &text, &size, &ge)) {
        *error = g_strdup(ge->message);
        g_error_free(ge);
        return false;
    }
    char **lines = g_strsplit(text, "\n", -1);
    for (char **l = lines; *l; l++) {
        g_strstrip(*l);
        if (**l && **l != '#' && n <= RPC_KEYS_MAX) {
            keys[n++] = sview_from(*l);
        }
    }
    bool ok = rpc_keys_set(k, keys, n);
    if (!ok) {
        *error = g_strdup_printf("%s: expected one or two keys of %d to %d "
                                 "characters, one per line",
                                 path, RPC_KEY_MIN_BYTES, RPC_KEY_MAX_BYTES);
    }
    for (char **l = lines; *l; l++) {
        OPENSSL_cleanse(*l, strlen(*l));
    }
    g_strfreev(lines);
    OPENSSL_cleanse(text, size);
    g_free(text);
    return ok;
}

/* Fills p with n random bytes. Terminates the process if the system cannot
   provide them, because predictable nonces would defeat the replay
   protection. */
void
rpc_auth_random(uint8_t *p, size_t n)
{
    if (RAND_bytes(p, (int)n) != 1) {
        g_error("no random bytes available");
    }
}

/* Appends a 32-bit number in network byte order. */
static uint8_t *
put_u32(uint8_t *p, uint32_t v)
{
    p[0] = (uint8_t)(v >> 24);
    p[1] = (uint8_t)(v >> 16);
    p[2] = (uint8_t)(v >> 8);
    p[3] = (uint8_t)v;
    return p + 4;
}

/* Signs with the key at index key. Returns false if there is no such key. The
   signature covers a label, so that a reply cannot be passed off as a call,
   and the server's instance id, so that a call cannot be replayed at another
   server or after a restart. */
bool
rpc_auth_sign(const struct rpc_keys *k, const struct rpc_signed *msg, int key,
              uint8_t mac[RPC_MAC_BYTES])
{
    uint8_t head[32 + RPC_NONCE_BYTES + RPC_INSTANCE_BYTES];
    uint8_t *p = head;

    if (key < 0 || key >= k->count) {
        return false;
    }
    p = put_u32(p, msg->reply ? 0x7265706c : 0x63616c6c);
    p = put_u32(p, msg->xid);
    p = put_u32(p, msg->program);
    p = put_u32(p, msg->version);
    p = put_u32(p, msg->procedure);
    p = put_u32(p, msg->accept_stat);
    p = put_u32(p, (uint32_t)(msg->sent_ms >> 32));
    p = put_u32(p, (uint32_t)msg->sent_ms);
    memcpy(p, msg->nonce, RPC_NONCE_BYTES);
    p += RPC_NONCE_BYTES;
    memcpy(p, msg->instance, RPC_INSTANCE_BYTES);
    p += RPC_INSTANCE_BYTES;

    size_t head_n = (size_t)(p - head);
    uint8_t *all = g_malloc(head_n + msg->body.n);
    memcpy(all, head, head_n);
    if (msg->body.n > 0) {
        memcpy(all + head_n, msg->body.p, msg->body.n);
    }
    unsigned n = 0;
    const uint8_t *mac_result =
        HMAC(EVP_sha256(), k->key[key].bytes, (int)k->key[key].n, all,
             head_n + msg->body.n, mac, &n);
    g_free(all);
    return mac_result != NULL && n == RPC_MAC_BYTES;
}

/* Returns the index of the key that made the signature, or -1 if none did. */
int
rpc_auth_verify(const struct rpc_keys *k, const struct rpc_signed *msg,
                const uint8_t mac[RPC_MAC_BYTES])
{
    return rpc_auth_verify_truncated(k, msg, mac, RPC_MAC_BYTES);
}

/* The same for a signature of which only the first mac_bytes, at most
   RPC_MAC_BYTES, were sent. */
int
rpc_auth_verify_truncated(const struct rpc_keys *k,
                          const struct rpc_signed *msg, const uint8_t *mac,
                          size_t mac_bytes)
{
    for (int i = 0; i < k->count; i++) {
        uint8_t own[RPC_MAC_BYTES];

        if (rpc_auth_sign(k, msg, i, own) &&
            CRYPTO_memcmp(own, mac, mac_bytes) == 0) {
            return i;
        }
    }
    return -1;
}

/* Nonces of two generations. A generation lasts twice the time window, so a
   nonce is stored for as long as its send time can be accepted. */
struct rpc_nonces {
    GHashTable *current;
    GHashTable *previous;
    uint64_t generation_start_ms;
    size_t max_entries;
};

/* Uses the first bytes of a nonce as the hash, since they are random. */
static guint
nonce_hash(gconstpointer p)
{
    guint h;

    memcpy(&h, p, sizeof(h));
    return h;
}

static gboolean
nonce_equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, RPC_NONCE_BYTES) == 0;
}

static GHashTable *
generation_new(void)
{
    return g_hash_table_new_full(nonce_hash, nonce_equal, g_free, NULL);
}

/* Creates an empty store of at most max_entries nonces per generation. */
struct rpc_nonces *
rpc_nonces_create(size_t max_entries)
{
    struct rpc_nonces *s = g_new0(struct rpc_nonces, 1);

    s->current = generation_new();
    s->previous = generation_new();
    s->max_entries = max_entries;
    return s;
}

void
rpc_nonces_destroy(struct rpc_nonces *s)
{
    if (s) {
        g_hash_table_destroy(s->current);
        g_hash_table_destroy(s->previous);
        g_free(s);
    }
}

/* Stores the nonce of a call whose signature and send time are valid. now_ms
   is the time of any clock that does not go backwards. If the store is full,
   the call has to be refused, because dropping a nonce would allow a
   replay. */
enum rpc_nonce_result
rpc_nonces_add(struct rpc_nonces *s, uint64_t now_ms,
               const uint8_t nonce[RPC_NONCE_BYTES])
{
    if (s->generation_start_ms == 0) {
        s->generation_start_ms = now_ms;
    }
    /* After a long time without calls, both generations have expired. */
    for (int i = 0;
         i < 2 && now_ms - s->generation_start_ms > 2 * RPC_TIME_WINDOW_MS;
         i++) {
        GHashTable *old = s->previous;
        uint64_t next = s->generation_start_ms + 2 * RPC_TIME_WINDOW_MS;

        g_hash_table_remove_all(old);
        s->previous = s->current;
        s->current = old;
        s->generation_start_ms = i == 1 ? now_ms : next;
    }
    if (g_hash_table_contains(s->current, nonce) ||
        g_hash_table_contains(s->previous, nonce)) {
        return RPC_NONCE_SEEN;
    }
    if (g_hash_table_size(s->current) >= s->max_entries) {
        return RPC_NONCE_FULL;
    }
    g_hash_table_add(s->current, g_memdup2(nonce, RPC_NONCE_BYTES));
    return RPC_NONCE_NEW;
}
