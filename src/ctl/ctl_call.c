#include "ctl/ctl_call.h"

#include "base/clock.h"
#include "fleet/rpc_client.h"
#include "fleet/rpc_net.h"

#include <ev.h>
#include <string.h>

struct pending_call {
    struct ev_loop *loop;
    enum rpc_status status;
    void *result;
    size_t result_bytes;
};

/* Moves the result to the caller. The client's copy is cleared, so that the
   client does not free the memory it points to. */
static void
on_done(void *ctx, enum rpc_status status, void *result)
{
    struct pending_call *pending = ctx;

    pending->status = status;
    if (result) {
        memcpy(pending->result, result, pending->result_bytes);
        memset(result, 0, pending->result_bytes);
    }
    ev_break(pending->loop, EVBREAK_ALL);
}

/* Calls one address and blocks until the call has ended. */
static enum rpc_status
call_one(const struct ctl_target *t, const char *host, uint16_t port,
         const struct rpc_procedure_type *type, const void *args, void *result)
{
    const struct rpc_client_limits limits = {
        .connect_ms = t->timeout_ms,
        .fail_fast = true,
    };
    struct pending_call pending = {
        .loop = ev_loop_new(EVFLAG_AUTO),
        .result = result,
        .result_bytes = type->result_bytes,
    };
    struct rpc_client *c =
        rpc_client_create(pending.loop, host, port, t->keys,
                          (uint64_t)clock_monotonic_us(), &limits);

    rpc_client_call(c, type, args, t->timeout_ms, on_done, &pending);
    ev_run(pending.loop, 0);
    rpc_client_destroy(c);
    ev_loop_destroy(pending.loop);
    return pending.status;
}

/* Prints an error and returns the exit code. */
static int
report_failure(const struct ctl_target *t, const char *peer,
               enum rpc_status status)
{
    const char *hint = "";

    if (status == RPC_STATUS_DENIED) {
        hint = " (check the key file and this machine's clock)";
    }
    fprintf(t->err, "galenastepctl: step=%s peer=%s %s%s\n", t->step, peer,
            status == RPC_STATUS_NOT_SENT ? "cannot connect"
                                          : rpc_status_name(status),
            hint);
    return status == RPC_STATUS_NOT_SENT ? CTL_NO_CONNECTION : CTL_FAILED;
}

/* Calls the first reachable address. The next address is tried only if the
   call was not sent, so that no command runs twice. */
static int
call_first_reachable(const struct ctl_target *t,
                     const struct rpc_procedure_type *type, const void *args,
                     void *result)
{
    int code = CTL_NO_CONNECTION;

    for (char **a = t->addresses; *a; a++) {
        char host[RPC_ADDRESS_BYTES];
        uint16_t port;

        if (!rpc_net_split(*a, host, &port)) {
            fprintf(t->err,
                    "galenastepctl: step=%s peer=%s expected "
                    "HOST:PORT with an IP number\n",
                    t->step, *a);
            return CTL_USAGE;
        }
        enum rpc_status s = call_one(t, host, port, type, args, result);
        if (s == RPC_STATUS_OK) {
            return CTL_OK;
        }
        code = report_failure(t, *a, s);
        if (code != CTL_NO_CONNECTION) {
            return code;
        }
    }
    return code;
}

static void
row_free(gpointer row)
{
    g_ptr_array_unref(row);
}

/* Appends copies of the answer's rows. Each part of a table begins with the
   column names; they are skipped for all parts but the first. */
static void
rows_append(GPtrArray *rows, const control_table_answer *a)
{
    for (guint i = rows->len > 0 ? 1 : 0; i < a->rows.rows_len; i++) {
        const control_row *r = &a->rows.rows_val[i];
        GPtrArray *row = g_ptr_array_new_with_free_func(g_free);

        for (guint j = 0; j < r->cells.cells_len; j++) {
            g_ptr_array_add(row, g_strdup(r->cells.cells_val[j]));
        }
        g_ptr_array_add(rows, row);
    }
}

/* Fetches a complete table in parts. Returns an exit code; on CTL_OK the
   caller frees *rows with g_ptr_array_unref(), otherwise an error was printed.
 */
int
ctl_call_table(const struct ctl_target *t, uint32_t procedure,
               const char *argument, GPtrArray **rows)
{
    const struct rpc_procedure_type type = {
        .program = CONTROL_PROGRAM,
        .version = CONTROL_VERSION,
        .procedure = procedure,
        .args_proc = RPC_XDR(xdr_control_table_request),
        .result_proc = RPC_XDR(xdr_control_table_answer),
        .result_bytes = sizeof(control_table_answer),
    };
    control_table_request r = {.argument = (char *)argument};
    int code;

    *rows = g_ptr_array_new_with_free_func(row_free);
    do {
        control_table_answer a = {0};

        code = call_first_reachable(t, &type, &r, &a);
        if (code == CTL_OK && a.code != 0) {
            fprintf(t->err, "galenastepctl: step=%s %s\n", t->step, a.message);
            code = (int)a.code;
        }
        else if (code == CTL_OK) {
            rows_append(*rows, &a);
            /* Stop unless the offset advances, to avoid an endless loop. */
            r.offset = a.next > r.offset ? a.next : 0;
        }
        xdr_free(RPC_XDR(xdr_control_table_answer), (char *)&a);
    } while (code == CTL_OK && r.offset > 0);
    if (code != CTL_OK) {
        g_ptr_array_unref(*rows);
        *rows = NULL;
    }
    return code;
}

/* Runs a command and returns its exit code. *message is the proxy's answer, to
   be freed with g_free(). If there was no answer it is NULL and an error was
   printed. */
int
ctl_call_command(const struct ctl_target *t, uint32_t procedure,
                 xdrproc_t args_proc, const void *args, char **message)
{
    const struct rpc_procedure_type type = {
        .program = CONTROL_PROGRAM,
        .version = CONTROL_VERSION,
        .procedure = procedure,
        .args_proc = args_proc,
        .result_proc = RPC_XDR(xdr_control_result),
        .result_bytes = sizeof(control_result),
    };
    control_result a = {0};
    int code = call_first_reachable(t, &type, args, &a);

    *message = NULL;
    if (code == CTL_OK) {
        *message = g_strdup(a.message);
        code = (int)a.code;
    }
    xdr_free(RPC_XDR(xdr_control_result), (char *)&a);
    return code;
}

/* The xdrproc_t of commands without arguments. */
bool_t
ctl_xdr_empty(XDR *x, ...)
{
    (void)x;
    return TRUE;
}
