#include "bb_call_tree.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <utlist.h>

/* Time constant of the results of nested calls. */
#define RESULT_DECAY_S 1.0

/* Decayed number of results below which a share is not used. */
#define MIN_RESULTS 6.0

/* New calls are refused from this share of failing ones on, until it is below
 * the second value. With 0.25 and 0.05 fewer calls were served in time in the
 * load test: the refused ones had a better chance than that. */
#define REFUSE_FROM_SHARE 0.5
#define REFUSE_UNTIL_SHARE 0.3

/* The others go on, so that a recovery is seen. */
#define MAX_REFUSAL_SHARE 0.9

/* Weight of the newest run in the mean number of nested calls. */
#define COUNT_WEIGHT 0.02

/* Number of separators at the end of an id that are tried. An id comes from a
 * caller and may consist of thousands of them. */
#define MAX_SEPARATORS 8

/* Limit of classes; a configuration has a few hundred routes. With those of
 * earlier configurations there may be more, and the table starts anew. */
#define MAX_CLASSES 1024

/* Nested calls of one class, as made by the runs of another. */
typedef struct nested_count {
    struct call_class *nested;
    double mean; /* per run */
    int current; /* in one run */
    struct nested_count *prev, *next;
} nested_count_t;

typedef struct call_class {
    nested_count_t *children;
    long runs;
    bool is_refusing;
    double refusal_credit; /* refusals owed, see BbCallTree_MustRefuse() */
    /* results of nested calls of this class, decayed */
    double results, refused;
    double decayed_at;
} call_class_t;

struct bb_call_run {
    char *id;
    call_class_t *class; /* NULL after forget_classes() */
    double arrived_at;
    nested_count_t *children;
};

struct bb_call_tree {
    char *separator;
    GHashTable *classes; /* name to call_class_t */
    GHashTable *runs;    /* id to bb_call_run_t */
};

static void
free_counts(nested_count_t **counts)
{
    while (*counts != NULL) {
        nested_count_t *count = *counts;
        DL_DELETE(*counts, count);
        g_free(count);
    }
}

static void
free_class(gpointer data)
{
    call_class_t *class = data;

    free_counts(&class->children);
    g_free(class);
}

static void
free_run(bb_call_run_t *run)
{
    free_counts(&run->children);
    g_free(run->id);
    g_free(run);
}

bb_call_tree_t *
BbCallTree_New(const char *separator)
{
    bb_call_tree_t *tree = g_new0(bb_call_tree_t, 1);

    tree->separator = g_strdup(separator != NULL ? separator : "");
    tree->classes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_class);
    tree->runs = g_hash_table_new(g_str_hash, g_str_equal);
    return tree;
}

void
BbCallTree_Free(bb_call_tree_t *tree)
{
    if (tree != NULL) {
        g_hash_table_destroy(tree->runs);
        g_hash_table_destroy(tree->classes);
        g_free(tree->separator);
        g_free(tree);
    }
}

/* Nothing is learned from the runs that have started. */
static void
forget_classes(bb_call_tree_t *tree)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, tree->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        bb_call_run_t *run = value;
        run->class = NULL;
        free_counts(&run->children);
    }
    g_hash_table_remove_all(tree->classes);
}

static call_class_t *
add_class(bb_call_tree_t *tree, const char *name)
{
    call_class_t *class = g_hash_table_lookup(tree->classes, name);

    if (class == NULL) {
        if (g_hash_table_size(tree->classes) >= MAX_CLASSES) {
            forget_classes(tree);
        }
        class = g_new0(call_class_t, 1);
        g_hash_table_insert(tree->classes, g_strdup(name), class);
    }
    return class;
}

static nested_count_t *
find_count(nested_count_t **counts, call_class_t *nested)
{
    nested_count_t *count;

    DL_SEARCH_SCALAR(*counts, count, nested, nested);
    if (count == NULL) {
        count = g_new0(nested_count_t, 1);
        count->nested = nested;
        DL_APPEND(*counts, count);
    }
    return count;
}

/* ---- runs ---- */

bb_call_run_t *
BbCallTree_StartRun(bb_call_tree_t *tree, const char *id,
                    const char *class_name, double arrived_at)
{
    if (tree->separator[0] == '\0' || id[0] == '\0' || class_name == NULL ||
        g_hash_table_contains(tree->runs, id)) {
        return NULL;
    }
    bb_call_run_t *run = g_new0(bb_call_run_t, 1);
    run->id = g_strdup(id);
    run->class = add_class(tree, class_name);
    run->arrived_at = arrived_at;
    g_hash_table_insert(tree->runs, run->id, run);
    return run;
}

static void
learn_from_run(const bb_call_run_t *run)
{
    call_class_t *class = run->class;
    nested_count_t *known, *seen;
    double weight = MAX(1.0 / (double)++class->runs, COUNT_WEIGHT);

    DL_FOREACH (run->children, seen) {
        find_count(&class->children, seen->nested)->current = seen->current;
    }
    DL_FOREACH (class->children, known) {
        known->mean += weight * (known->current - known->mean);
        known->current = 0;
    }
}

void
BbCallTree_EndRun(bb_call_tree_t *tree, bb_call_run_t *run)
{
    if (run == NULL) {
        return;
    }
    if (run->class != NULL) {
        learn_from_run(run);
    }
    g_hash_table_remove(tree->runs, run->id);
    free_run(run);
}

/* ---- nested calls ---- */

/* The run whose id, followed by the separator, is the longest start of the
 * id. */
static bb_call_run_t *
find_parent(const bb_call_tree_t *tree, const char *id)
{
    bb_call_run_t *run = NULL;
    size_t length = strlen(id);

    if (tree->separator[0] == '\0' || g_hash_table_size(tree->runs) == 0) {
        return NULL;
    }
    char *prefix = g_strdup(id);
    for (int i = 0; i < MAX_SEPARATORS && run == NULL; i++) {
        const char *at =
            g_strrstr_len(prefix, (gssize)length, tree->separator);
        if (at == NULL) {
            break;
        }
        length = (size_t)(at - prefix);
        prefix[length] = '\0';
        run = g_hash_table_lookup(tree->runs, prefix);
    }
    g_free(prefix);
    return run;
}

bool
BbCallTree_BeginNested(bb_call_tree_t *tree, const char *id,
                       const char *class_name, double now,
                       double *parent_age_s)
{
    bb_call_run_t *run = find_parent(tree, id);

    if (run == NULL) {
        return false;
    }
    find_count(&run->children, add_class(tree, class_name))->current++;
    *parent_age_s = MAX(now - run->arrived_at, 0.0);
    return true;
}

bool
BbCallTree_IsNested(const bb_call_tree_t *tree, const char *id)
{
    return find_parent(tree, id) != NULL;
}

static void
decay_results(call_class_t *class, double now)
{
    double factor = exp(-MAX(now - class->decayed_at, 0.0) / RESULT_DECAY_S);

    class->results *= factor;
    class->refused *= factor;
    class->decayed_at = now;
}

void
BbCallTree_EndNested(bb_call_tree_t *tree, const char *class_name,
                     bool is_refused, double now)
{
    call_class_t *class = g_hash_table_lookup(tree->classes, class_name);

    if (class != NULL) {
        decay_results(class, now);
        class->results += 1;
        class->refused += is_refused ? 1 : 0;
    }
}

/* ---- roots ---- */

/* Share of the runs of the class of which a nested call is refused. */
static double
failing_share(const call_class_t *class, double now)
{
    const nested_count_t *count;
    double success = 1;

    DL_FOREACH (class->children, count) {
        call_class_t *nested = count->nested;
        decay_results(nested, now);
        if (nested->results >= MIN_RESULTS) {
            success *= pow(1 - nested->refused / nested->results, count->mean);
        }
    }
    return 1 - success;
}

double
BbCallTree_RefusalShare(bb_call_tree_t *tree, const char *class_name,
                        double now)
{
    call_class_t *class = class_name != NULL
                              ? g_hash_table_lookup(tree->classes, class_name)
                              : NULL;

    if (class == NULL || class->children == NULL) {
        return 0;
    }
    double failing = failing_share(class, now);
    if (failing >= REFUSE_FROM_SHARE) {
        class->is_refusing = true;
    }
    else if (failing < REFUSE_UNTIL_SHARE) {
        class->is_refusing = false;
    }
    return class->is_refusing ? MIN(failing, MAX_REFUSAL_SHARE) : 0;
}

bool
BbCallTree_MustRefuse(bb_call_tree_t *tree, const char *class_name, double now)
{
    double share = BbCallTree_RefusalShare(tree, class_name, now);

    if (share <= 0) {
        return false;
    }
    call_class_t *class = g_hash_table_lookup(tree->classes, class_name);
    class->refusal_credit += share;
    if (class->refusal_credit < 1) {
        return false;
    }
    class->refusal_credit -= 1;
    return true;
}
