#include "ctl/ctl.h"

#include "base/log.h"

int
main(int argc, char **argv)
{
    log_set_program("galenastepctl");
    log_set_level(LOG_LEVEL_ERROR);
    return ctl_run(argc, argv, stdout, stderr);
}
