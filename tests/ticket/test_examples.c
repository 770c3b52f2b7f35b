/* Guards against example tickets that are not valid. The files given as
   arguments are applied in order. */
#include "ticket/state.h"

#include <stdio.h>
#include <string.h>

int
main(int argc, char **argv)
{
    struct ticket_state *s = ticket_state_create(NULL, NULL);
    int failed = argc < 2;

    for (int i = 1; i < argc; i++) {
        struct ticket_error err = {0};
        char *text = NULL;
        gsize n = 0;
        struct ticket *t = NULL;

        if (g_file_get_contents(argv[i], &text, &n, NULL)) {
            t = ticket_parse(text, n, &err);
        }
        if (!t || !ticket_check(t, s, NULL, &err)) {
            (void)fprintf(stderr, "%s: [%s] %s: %s\n", argv[i], err.group,
                          err.key, err.reason);
            failed = 1;
        }
        else {
            ticket_state_apply(s, t);
            printf("file=%s row_bytes=%zu\n", argv[i], strlen(t->text));
        }
        ticket_free(t);
        g_free(text);
    }
    ticket_state_destroy(s);
    return failed;
}
