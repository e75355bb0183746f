#include "bb_http_syntax.h"

#define MIN_STATUS 100
#define MAX_STATUS 599

bool
BbHttpSyntax_IsStatus(long status)
{
    return status >= MIN_STATUS && status <= MAX_STATUS;
}
