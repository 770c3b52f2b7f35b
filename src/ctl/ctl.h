#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <stdio.h>

/* Exit codes of galenastepctl. */
enum ctl_exit {
    CTL_OK = 0,
    CTL_FAILED = 1,
    CTL_USAGE = 2,
    CTL_NO_CONNECTION = 3,
    CTL_CONFLICT = 4,
};

int ctl_run(int argc, char **argv, FILE *out, FILE *err);

#endif
