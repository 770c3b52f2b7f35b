#ifndef DIRECTORY_MEMBER_LIST_H
#define DIRECTORY_MEMBER_LIST_H

#include "base/sview.h"
#include "directory/member_entry.h"

#include <glib.h>

char *member_list_format(const struct member_entry *entries, size_t n);
GArray *member_list_parse(struct sview text);

#endif
