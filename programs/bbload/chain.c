#include "chain.h"

#include <glib.h>

struct chain {
    bb_curl_t *curl;
    CURL *easy;
    struct curl_slist *headers;
    void (*done)(long status, void *arg);
    void *arg;
};

static size_t
discard_body(char *data, size_t size, size_t count, void *arg)
{
    (void)data;
    (void)arg;
    return size * count;
}

static void
free_chain(chain_t *chain)
{
    curl_easy_cleanup(chain->easy);
    curl_slist_free_all(chain->headers);
    g_free(chain);
}

static void
handle_done(CURL *easy, CURLcode code, void *arg)
{
    chain_t *chain = arg;
    long status = 0;

    if (code == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    }
    chain->done(status, chain->arg);
    free_chain(chain);
}

/* Frees line. */
static void
add_header(chain_t *chain, char *line)
{
    chain->headers = curl_slist_append(chain->headers, line);
    g_free(line);
}

static void
set_request_options(chain_t *chain, const chain_options_t *options)
{
    char *url =
        g_strdup_printf("http://%s%s?depth=%" G_GINT64_FORMAT, options->node,
                        options->path, (gint64)options->depth);

    add_header(chain, g_strdup_printf("X-Call: %s", options->id));
    if (options->deadline_ms > 0) {
        add_header(chain,
                   g_strdup_printf("Burdock-Deadline-Ms: %" G_GINT64_FORMAT,
                                   (gint64)options->deadline_ms));
    }
    curl_easy_setopt(chain->easy, CURLOPT_URL, url);
    curl_easy_setopt(chain->easy, CURLOPT_HTTPHEADER, chain->headers);
    curl_easy_setopt(chain->easy, CURLOPT_WRITEFUNCTION, discard_body);
    g_free(url);
}

chain_t *
Chain_Start(const chain_options_t *options)
{
    chain_t *chain = g_new0(chain_t, 1);
    chain->curl = options->curl;
    chain->done = options->done;
    chain->arg = options->arg;
    chain->easy = curl_easy_init();
    set_request_options(chain, options);
    if (BbCurl_Start(chain->curl, chain->easy, handle_done, chain) != 0) {
        free_chain(chain);
        return NULL;
    }
    return chain;
}

void
Chain_Cancel(chain_t *chain)
{
    BbCurl_Cancel(chain->curl, chain->easy);
    free_chain(chain);
}
