#ifndef DIRECTORY_CATALOG_TEXT_H
#define DIRECTORY_CATALOG_TEXT_H

#include "base/sview.h"
#include "directory/catalog.h"

char *catalog_format(const struct catalog *c);
struct catalog *catalog_parse(struct sview text);

#endif
