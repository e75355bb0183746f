#include "bb_headers.h"

#include <glib.h>
#include <string.h>

static const char *const hop_by_hop[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authorization",
    "TE",
    "Proxy-Authenticate",
    "Trailer",
    "Upgrade",
    "Transfer-Encoding",
    "Content-Length",
    "Expect",
    NULL,
};

bool
BbHeaders_IsInternal(const char *name)
{
    return g_ascii_strncasecmp(name, "Burdock-", 8) == 0;
}

static bool
is_listed(const char *list, const char *name)
{
    size_t length = strlen(name);

    while (*list != '\0') {
        list += strspn(list, " \t,");
        size_t item_length = strcspn(list, " \t,");
        if (item_length == length &&
            g_ascii_strncasecmp(list, name, length) == 0) {
            return true;
        }
        list += item_length;
    }
    return false;
}

bool
BbHeaders_IsHopByHop(const char *name, const char *connection)
{
    for (int i = 0; hop_by_hop[i] != NULL; i++) {
        if (g_ascii_strcasecmp(name, hop_by_hop[i]) == 0) {
            return true;
        }
    }
    return connection != NULL && is_listed(connection, name);
}

struct curl_slist *
BbHeaders_Append(struct curl_slist *list, const char *name, const char *value)
{
    /* libcurl reads "Name:" as an order to remove the field; "Name;" sends it
     * without a value. */
    char *line = value[0] != '\0' ? g_strconcat(name, ": ", value, NULL)
                                  : g_strconcat(name, ";", NULL);
    struct curl_slist *new_list = curl_slist_append(list, line);
    g_free(line);
    return new_list != NULL ? new_list : list;
}

bool
BbHeaders_ParseNumber(const char *text, int64_t minimum, int64_t maximum,
                      int64_t *out)
{
    guint64 value;

    if (minimum < 0 ||
        !g_ascii_string_to_unsigned(text, 10, (guint64)minimum,
                                    (guint64)maximum, &value, NULL)) {
        return false;
    }
    *out = (int64_t)value;
    return true;
}
