#include "rpc_fixture.h"

#include "base/rng.h"
#include "fleet/rpc_net.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define KEY_B "fedcba9876543210fedcba9876543210"
#define KEY_A "0123456789abcdef0123456789abcdef"
#define FUZZ_SEED 20261204
#define FUZZ_RUNS 400

/* Checks that the server still serves, on a new connection. */
static void
assert_serves(struct rpc_fixture *f)
{
    struct rpc_client *c = rpc_fixture_client(f, NULL);
    struct rpc_outcome out;

    rpc_fixture_loan(c, 5, 30000, &out);
    rpc_fixture_wait(f, &out);
    assert_int_equal(out.status, RPC_STATUS_OK);
    assert_int_equal(out.granted, 5);
    rpc_client_destroy(c);
}

/* Guards against answers that are matched to the wrong call when several are
   in flight. */
static void
test_calls_in_flight_keep_their_answers(void **state)
{
    (void)state;
    struct rpc_fixture f;
    struct rpc_outcome out[50];

    rpc_fixture_start(&f, NULL);
    struct rpc_client *c = rpc_fixture_client(&f, NULL);
    for (unsigned i = 0; i < 50; i++) {
        rpc_fixture_loan(c, i, 30000, &out[i]);
    }
    for (unsigned i = 0; i < 50; i++) {
        rpc_fixture_wait(&f, &out[i]);
        assert_int_equal(out[i].status, RPC_STATUS_OK);
        assert_int_equal(out[i].granted, i);
    }
    assert_int_equal(rpc_client_counters(c)->connects, 1);
    rpc_client_destroy(c);
    rpc_fixture_stop(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_calls_in_flight_keep_their_answers),
    };

    (void)assert_serves;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
