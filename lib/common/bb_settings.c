#include "bb_settings.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <string.h>

#include "bb_error.h"
#include "bb_http_io.h"
#include "bb_toml.h"

#define PUBLIC_KEY_DIGITS 64

typedef enum {
    TYPE_NAME,    /* [a-z0-9-]{1,31} */
    TYPE_ADDRESS, /* "IP:PORT" */
    TYPE_URL,     /* "http://IP:PORT" */
    TYPE_CHOICE,  /* one of setting_t.choices */
    TYPE_INTEGER, /* in setting_t.min..max */
} setting_type_t;

typedef struct {
    const char *section;
    const char *key;
    setting_type_t type;
    size_t offset;
    bool is_required;
    const char *default_text;
    int64_t default_number;
    int64_t min;
    int64_t max;
    const char *unit;
    const char *choices[5];
    const char *help;
} setting_t;

#define FIELD(name) offsetof(bb_settings_t, name)

/* ---- table of settings ---- */

static const setting_t settings_table[] = {
    {.section = "node",
     .key = "cluster",
     .type = TYPE_NAME,
     .offset = FIELD(cluster),
     .is_required = true,
     .help = "name of the installation; peers of another one are refused"},
    {.section = "node",
     .key = "data_centre",
     .type = TYPE_NAME,
     .offset = FIELD(data_centre),
     .is_required = true,
     .help = "data centre of this VM"},
    {.section = "node",
     .key = "caller_address",
     .type = TYPE_ADDRESS,
     .offset = FIELD(caller_address),
     .is_required = true,
     .help = "address for callers and for calls forwarded by other nodes"},
    {.section = "node",
     .key = "admin_address",
     .type = TYPE_ADDRESS,
     .offset = FIELD(admin_address),
     .is_required = true,
     .help = "address for target announcements, /status and /metrics"},
    {.section = "node",
     .key = "peer_address",
     .type = TYPE_ADDRESS,
     .offset = FIELD(peer_address),
     .is_required = true,
     .help = "address for links from other nodes"},
    {.section = "node",
     .key = "log_level",
     .type = TYPE_CHOICE,
     .offset = FIELD(log_level),
     .default_text = "info",
     .choices = {"error", "warning", "notice", "info", "debug"},
     .help = "least severe level that is logged"},
    {.section = "platform",
     .key = "url",
     .type = TYPE_URL,
     .offset = FIELD(platform_url),
     .is_required = true,
     .help = "address of the platform's table service and object store"},
    {.section = "platform",
     .key = "mode",
     .type = TYPE_CHOICE,
     .offset = FIELD(platform_mode),
     .default_text = "lease",
     .choices = {"lease", "poll-all"},
     .help = "lease: two readers per data centre; poll-all: every node reads "
             "(baseline for measurements)"},
    {.section = "platform",
     .key = "poll_ms",
     .type = TYPE_INTEGER,
     .offset = FIELD(poll_ms),
     .default_number = 500,
     .min = 50,
     .max = 60000,
     .unit = "ms",
     .help = "time between two reads of the head by a reader"},
    {.section = "platform",
     .key = "timeout_ms",
     .type = TYPE_INTEGER,
     .offset = FIELD(platform_timeout_ms),
     .default_number = 2000,
     .min = 100,
     .max = 60000,
     .unit = "ms",
     .help = "time limit of one platform request"},
    {.section = "peer",
     .key = "mode",
     .type = TYPE_CHOICE,
     .offset = FIELD(peer_mode),
     .default_text = "push",
     .choices = {"push", "advertise"},
     .help = "push: new versions travel as deltas at once; advertise: "
             "neighbours are told and pull, fewer bytes"},
    {.section = "peer",
     .key = "fanout",
     .type = TYPE_INTEGER,
     .offset = FIELD(fanout),
     .default_number = 3,
     .min = 1,
     .max = 8,
     .unit = "links",
     .help = "successors on the hash ring that a node connects to"},
    {.section = "call",
     .key = "balancer",
     .type = TYPE_CHOICE,
     .offset = FIELD(balancer),
     .default_text = "least-of-two",
     .choices = {"least-of-two", "round-robin"},
     .help = "choice of a target; round-robin is the baseline"},
    {.section = "call",
     .key = "admission",
     .type = TYPE_CHOICE,
     .offset = FIELD(admission),
     .default_text = "limits",
     .choices = {"limits", "none"},
     .help = "limits of the target-side node; none is the baseline"},
    {.section = "call",
     .key = "retry",
     .type = TYPE_CHOICE,
     .offset = FIELD(retry),
     .default_text = "safe",
     .choices = {"safe", "always"},
     .help = "safe: only what was not run or is idempotent, under a budget; "
             "always is the baseline"},
    {.section = "call",
     .key = "drain_ms",
     .type = TYPE_INTEGER,
     .offset = FIELD(drain_ms),
     .default_number = 660000,
     .min = 0,
     .max = 3600000,
     .unit = "ms",
     .help = "time that calls in flight get to finish after SIGTERM; the "
             "default is longer than the longest route timeout"},
    {.section = "call",
     .key = "stall_ms",
     .type = TYPE_INTEGER,
     .offset = FIELD(stall_ms),
     .default_number = 5000,
     .min = 100,
     .max = 600000,
     .unit = "ms",
     .help = "longest time without a byte while a body is under way"},
};

#define SETTING_COUNT G_N_ELEMENTS(settings_table)

static char **
text_field(bb_settings_t *settings, const setting_t *setting)
{
    return (char **)((char *)settings + setting->offset);
}

static int64_t *
number_field(bb_settings_t *settings, const setting_t *setting)
{
    return (int64_t *)((char *)settings + setting->offset);
}

/* ---- checks of single values ---- */

static bool
is_name(const char *text)
{
    size_t length = strlen(text);
    return length >= 1 && length <= 31 &&
           strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-") == length;
}

static bool
is_address(const char *text)
{
    struct sockaddr_in name;
    return BbHttp_ParseAddress(text, &name) == 0;
}

static bool
is_url(const char *text)
{
    return g_str_has_prefix(text, "http://") &&
           is_address(text + strlen("http://"));
}

static bool
is_choice(const setting_t *setting, const char *text)
{
    for (size_t i = 0; i < G_N_ELEMENTS(setting->choices); i++) {
        if (g_strcmp0(setting->choices[i], text) == 0) {
            return true;
        }
    }
    return false;
}

static char *
describe_type(const setting_t *setting)
{
    switch (setting->type) {
    case TYPE_NAME:
        return g_strdup("a name of [a-z0-9-], 1 to 31 long");
    case TYPE_ADDRESS:
        return g_strdup("an address \"IP:PORT\"");
    case TYPE_URL:
        return g_strdup("a URL \"http://IP:PORT\"");
    case TYPE_CHOICE: {
        GString *text = g_string_new("one of");
        for (size_t i = 0; i < G_N_ELEMENTS(setting->choices); i++) {
            if (setting->choices[i] != NULL) {
                g_string_append_printf(text, "%s \"%s\"", i > 0 ? "," : "",
                                       setting->choices[i]);
            }
        }
        return g_string_free(text, FALSE);
    }
    case TYPE_INTEGER:
        return g_strdup_printf("a whole number from %" PRId64 " to %" PRId64
                               " (%s)",
                               setting->min, setting->max, setting->unit);
    }
    return g_strdup("unknown");
}

static bool
is_valid_text(const setting_t *setting, const char *text)
{
    switch (setting->type) {
    case TYPE_NAME:
        return is_name(text);
    case TYPE_ADDRESS:
        return is_address(text);
    case TYPE_URL:
        return is_url(text);
    case TYPE_CHOICE:
        return is_choice(setting, text);
    case TYPE_INTEGER:
        return false;
    }
    return false;
}

static void
store_value(const setting_t *setting, json_t *value, const char *source,
            int line, bb_findings_t *findings, bb_settings_t *out)
{
    if (setting->type == TYPE_INTEGER) {
        int64_t number = json_integer_value(value);
        if (json_is_integer(value) && number >= setting->min &&
            number <= setting->max) {
            *number_field(out, setting) = number;
            return;
        }
    }
    else if (json_is_string(value) &&
             is_valid_text(setting, json_string_value(value))) {
        char **field = text_field(out, setting);
        g_free(*field);
        *field = g_strdup(json_string_value(value));
        return;
    }
    char *expected = describe_type(setting);
    BbFindings_Add(findings, source, setting->section, setting->key, line,
                   "must be %s", expected);
    g_free(expected);
}

/* ---- files ---- */

static const setting_t *
find_setting(const char *section, const char *key)
{
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        if (strcmp(settings_table[i].section, section) == 0 &&
            strcmp(settings_table[i].key, key) == 0) {
            return &settings_table[i];
        }
    }
    return NULL;
}

static bool
is_section(const char *name)
{
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        if (strcmp(settings_table[i].section, name) == 0) {
            return true;
        }
    }
    return false;
}

static void
add_seed(json_t *value, const char *source, int line, bb_findings_t *findings,
         bb_settings_t *out)
{
    if (!json_is_string(value) || !is_address(json_string_value(value))) {
        BbFindings_Add(findings, source, "peer", "seeds", line,
                       "must be addresses \"IP:PORT\"");
    }
    else if (out->seed_count == BB_MAX_SEEDS) {
        BbFindings_Add(findings, source, "peer", "seeds", line,
                       "at most %d seeds are allowed", BB_MAX_SEEDS);
    }
    else {
        out->seeds[out->seed_count++] = g_strdup(json_string_value(value));
    }
}

static void
read_seeds(json_t *list, const char *source, int line, bb_findings_t *findings,
           bb_settings_t *out)
{
    size_t index;
    json_t *value;

    if (!json_is_array(list)) {
        BbFindings_Add(findings, source, "peer", "seeds", line,
                       "must be an array of addresses \"IP:PORT\"");
        return;
    }
    json_array_foreach (list, index, value) {
        add_seed(value, source, line, findings, out);
    }
}

static bool
is_public_key(const char *text)
{
    return text != NULL && strlen(text) == PUBLIC_KEY_DIGITS &&
           strspn(text, "0123456789abcdef") == PUBLIC_KEY_DIGITS;
}

static void
check_owner(json_t *table, const char *row, const char *source, int line,
            bb_findings_t *findings)
{
    const char *name = json_string_value(json_object_get(table, "name"));
    const char *key = json_string_value(json_object_get(table, "public_key"));
    const char *column;
    json_t *value;

    if (name == NULL || !is_name(name)) {
        BbFindings_Add(findings, source, row, "name", line,
                       "must be a name of [a-z0-9-], 1 to 31 long");
    }
    if (!is_public_key(key)) {
        BbFindings_Add(findings, source, row, "public_key", line,
                       "must be %d lower-case hex digits", PUBLIC_KEY_DIGITS);
    }
    json_object_foreach (table, column, value) {
        if (strcmp(column, "name") != 0 && strcmp(column, "public_key") != 0) {
            BbFindings_Add(findings, source, row, column, line, "unknown key");
        }
    }
}

static void
read_owner(json_t *table, size_t index, const char *source, int line,
           bb_findings_t *findings, bb_settings_t *out)
{
    size_t initial_findings = findings->count + findings->omitted;
    char row[32];

    g_snprintf(row, sizeof(row), "owner[%zu]", index);
    check_owner(table, row, source, line, findings);
    if (findings->count + findings->omitted != initial_findings) {
        return;
    }
    if (out->owner_count == BB_MAX_OWNERS) {
        BbFindings_Add(findings, source, row, NULL, line,
                       "at most %d owners are allowed", BB_MAX_OWNERS);
        return;
    }
    bb_owner_setting_t *owner = &out->owners[out->owner_count++];
    owner->name = g_strdup(json_string_value(json_object_get(table, "name")));
    owner->public_key =
        g_strdup(json_string_value(json_object_get(table, "public_key")));
}

static void
read_owners(const bb_toml_t *toml, json_t *list, const char *source,
            bb_findings_t *findings, bb_settings_t *out)
{
    size_t index;
    json_t *table;

    if (!json_is_array(list)) {
        BbFindings_Add(findings, source, "owner", NULL,
                       BbToml_Line(toml, "owner"), "must be tables [[owner]]");
        return;
    }
    json_array_foreach (list, index, table) {
        char path[32];
        g_snprintf(path, sizeof(path), "owner.%zu", index);
        read_owner(table, index, source, BbToml_Line(toml, path), findings,
                   out);
    }
}

static void
read_section(const bb_toml_t *toml, const char *section, json_t *table,
             const char *source, bb_findings_t *findings, bb_settings_t *out)
{
    const char *key;
    json_t *value;

    json_object_foreach (table, key, value) {
        char *path = g_strdup_printf("%s.%s", section, key);
        int line = BbToml_Line(toml, path);
        const setting_t *setting = find_setting(section, key);
        g_free(path);
        if (strcmp(section, "peer") == 0 && strcmp(key, "seeds") == 0) {
            read_seeds(value, source, line, findings, out);
        }
        else if (setting == NULL) {
            BbFindings_Add(findings, source, section, key, line,
                           "unknown key");
        }
        else {
            store_value(setting, value, source, line, findings, out);
        }
    }
}

/* Returns false when the file cannot be opened or is not TOML. */
static bool
read_file(const char *path, bb_findings_t *findings, bb_settings_t *out)
{
    const char *section;
    json_t *table;
    bb_toml_t *toml = BbToml_Load(path, findings);

    if (toml == NULL) {
        return false;
    }
    json_object_foreach (BbToml_Root(toml), section, table) {
        if (strcmp(section, "owner") == 0) {
            read_owners(toml, table, path, findings, out);
        }
        else if (!is_section(section) || !json_is_object(table)) {
            BbFindings_Add(findings, path, section, NULL,
                           BbToml_Line(toml, section), "unknown section");
        }
        else {
            read_section(toml, section, table, path, findings, out);
        }
    }
    BbToml_Free(toml);
    return true;
}

/* ---- overrides ---- */

static void
apply_setting_override(const setting_t *setting, const char *text,
                       bb_findings_t *findings, bb_settings_t *out)
{
    json_t *value;
    if (setting->type == TYPE_INTEGER) {
        gint64 number = 0;
        value = g_ascii_string_to_signed(text, 10, G_MININT64, G_MAXINT64,
                                         &number, NULL)
                    ? json_integer(number)
                    : json_null();
    }
    else {
        value = json_string(text);
    }
    store_value(setting, value, "--set", 0, findings, out);
    json_decref(value);
}

/* "peer.seeds" takes addresses separated by commas and replaces the list. */
static void
apply_seeds_override(const char *text, bb_findings_t *findings,
                     bb_settings_t *out)
{
    char **addresses = g_strsplit(text, ",", -1);

    for (size_t i = 0; i < out->seed_count; i++) {
        g_clear_pointer(&out->seeds[i], g_free);
    }
    out->seed_count = 0;
    for (size_t i = 0; addresses[i] != NULL; i++) {
        if (addresses[i][0] == '\0') {
            continue;
        }
        json_t *value = json_string(addresses[i]);
        add_seed(value, "--set", 0, findings, out);
        json_decref(value);
    }
    g_strfreev(addresses);
}

static void
apply_override(const char *override, bb_findings_t *findings,
               bb_settings_t *out)
{
    const char *equals = strchr(override, '=');
    const char *dot = strchr(override, '.');

    if (equals == NULL || dot == NULL || dot > equals) {
        BbFindings_Add(findings, "--set", override, NULL, 0,
                       "must have the form section.key=value");
        return;
    }
    char *section = g_strndup(override, (gsize)(dot - override));
    char *key = g_strndup(dot + 1, (gsize)(equals - dot - 1));
    const setting_t *setting = find_setting(section, key);
    if (strcmp(section, "peer") == 0 && strcmp(key, "seeds") == 0) {
        apply_seeds_override(equals + 1, findings, out);
    }
    else if (setting == NULL) {
        BbFindings_Add(findings, "--set", section, key, 0, "unknown key");
    }
    else {
        apply_setting_override(setting, equals + 1, findings, out);
    }
    g_free(section);
    g_free(key);
}

/* ---- loading, freeing and printing ---- */

static void
set_defaults(bb_settings_t *out)
{
    memset(out, 0, sizeof(*out));
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        const setting_t *setting = &settings_table[i];
        if (setting->type == TYPE_INTEGER) {
            *number_field(out, setting) = setting->default_number;
        }
        else {
            *text_field(out, setting) = g_strdup(setting->default_text);
        }
    }
}

/* True if a value was given but rejected, so that it is not reported as
 * missing too. column NULL: any finding of a row that begins with row. */
static bool
has_finding(const bb_findings_t *findings, const char *row, const char *column)
{
    for (size_t i = 0; i < findings->count; i++) {
        const bb_finding_t *item = &findings->items[i];
        if (g_str_has_prefix(item->row, row) &&
            (column == NULL || strcmp(item->column, column) == 0)) {
            return true;
        }
    }
    return false;
}

static void
check_required(const char *source, bb_findings_t *findings, bb_settings_t *out)
{
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        const setting_t *setting = &settings_table[i];
        if (setting->is_required && *text_field(out, setting) == NULL &&
            !has_finding(findings, setting->section, setting->key)) {
            BbFindings_Add(findings, source, setting->section, setting->key, 0,
                           "is missing");
        }
    }
    if (out->owner_count == 0 && !has_finding(findings, "owner", NULL)) {
        BbFindings_Add(findings, source, "owner", NULL, 0,
                       "at least one [[owner]] is needed, since a node takes "
                       "only versions signed by a trusted owner");
    }
}

int
BbSettings_Load(const bb_settings_options_t *options, bb_findings_t *findings,
                bb_settings_t *out)
{
    size_t initial_findings = findings->count + findings->omitted;
    bool is_read = true;

    set_defaults(out);
    if (options->path != NULL) {
        is_read = read_file(options->path, findings, out);
    }
    for (size_t i = 0;
         options->overrides != NULL && options->overrides[i] != NULL; i++) {
        apply_override(options->overrides[i], findings, out);
    }
    /* If the file could not be read, it is unknown which settings it lacks. */
    if (is_read) {
        check_required(options->path != NULL ? options->path : "settings",
                       findings, out);
    }
    return findings->count + findings->omitted == initial_findings
               ? 0
               : BB_ERR_INVALID;
}

void
BbSettings_Free(bb_settings_t *settings)
{
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        if (settings_table[i].type != TYPE_INTEGER) {
            g_free(*text_field(settings, &settings_table[i]));
        }
    }
    for (size_t i = 0; i < settings->seed_count; i++) {
        g_free(settings->seeds[i]);
    }
    for (size_t i = 0; i < settings->owner_count; i++) {
        g_free(settings->owners[i].name);
        g_free(settings->owners[i].public_key);
    }
    memset(settings, 0, sizeof(*settings));
}

void
BbSettings_PrintReference(FILE *out)
{
    fputs("# Settings of bbnode\n\n"
          "Printed by `bbnode --print-settings`. A file holds what nodes "
          "share;\n`--set section.key=value` gives what differs per VM.\n\n"
          "| key | value | default | meaning |\n"
          "| --- | --- | --- | --- |\n",
          out);
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        const setting_t *setting = &settings_table[i];
        char *type = describe_type(setting);
        fprintf(out, "| `%s.%s` | %s | ", setting->section, setting->key,
                type);
        if (setting->is_required) {
            fputs("required", out);
        }
        else if (setting->type == TYPE_INTEGER) {
            fprintf(out, "%" PRId64, setting->default_number);
        }
        else {
            fprintf(out, "`%s`", setting->default_text);
        }
        fprintf(out, " | %s |\n", setting->help);
        g_free(type);
    }
    fprintf(out,
            "| `peer.seeds` | array of \"IP:PORT\", at most %d | empty | "
            "peer addresses to join through while the platform cannot be "
            "read |\n"
            "| `owner.name`, `owner.public_key` | tables `[[owner]]`, at "
            "most %d; key of 64 hex digits | one is required | owners whose "
            "signature a node trusts |\n",
            BB_MAX_SEEDS, BB_MAX_OWNERS);
}
