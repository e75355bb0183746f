#include "bb_sidecar_settings.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <string.h>

#include "bb_error.h"
#include "bb_toml.h"

typedef enum {
    TYPE_TEXT,
    TYPE_ADDRESS, /* "IP:PORT" */
    TYPE_NUMBER,
    TYPE_FLAG, /* false by default */
} setting_type_t;

typedef struct {
    const char *section;
    const char *key;
    setting_type_t type;
    size_t offset;
    bool is_optional;
    double default_number;
    double min, max;
    const char *help;
} setting_t;

#define FIELD(name) offsetof(bb_sidecar_settings_t, name)

static const setting_t settings_table[] = {
    {"node", "name", TYPE_TEXT, FIELD(name), false, 0, 0, 0,
     "name of this node, key of its record in the shared table"},
    {"node", "data_centre", TYPE_TEXT, FIELD(data_centre), false, 0, 0, 0,
     "data centre of this VM"},
    {"node", "service", TYPE_TEXT, FIELD(service), false, 0, 0, 0,
     "service of the target on this VM"},
    {"node", "target_address", TYPE_ADDRESS, FIELD(target_address), false, 0,
     0, 0, "address of the target on this VM"},
    {"node", "link_mbps", TYPE_NUMBER, FIELD(link_mbps), true, 1000, 0, 1e6,
     "width of this VM's link in Mbit/s; wide ones read the store for others"},
    {"node", "first_start", TYPE_FLAG, FIELD(is_first_start), true, 0, 0, 0,
     "the whole fleet starts for the first time, so no record exists yet"},
    {"listen", "callers", TYPE_ADDRESS, FIELD(caller_address), false, 0, 0, 0,
     "address for the callers on this VM and for its target's own calls"},
    {"listen", "forwarded", TYPE_ADDRESS, FIELD(forward_address), false, 0, 0,
     0, "address for calls of other nodes"},
    {"listen", "admin", TYPE_ADDRESS, FIELD(admin_address), false, 0, 0, 0,
     "address of /healthz, /status and /metrics"},
    {"listen", "announcements", TYPE_ADDRESS, FIELD(announce_address), false,
     0, 0, 0, "address for the heartbeats of the target on this VM"},
    {"listen", "metrics", TYPE_ADDRESS, FIELD(metrics_address), true, 0, 0, 0,
     "further address of /metrics"},
    {"platform", "address", TYPE_ADDRESS, FIELD(platform_address), false, 0, 0,
     0, "address of the platform's store"},
    {"limits", "shutdown_s", TYPE_NUMBER, FIELD(shutdown_s), true, 6, 0.5, 600,
     "seconds from SIGTERM to the forced end"},
    {"limits", "repeat_ratio", TYPE_NUMBER, FIELD(repeat_ratio), true, 0.1, 0,
     10, "repeated attempts per call of a service, over all nodes"},
    {"limits", "repeat_extra", TYPE_NUMBER, FIELD(repeat_extra), true, 20, 0,
     1e6, "repeated attempts of a service besides, over all nodes"},
    {"limits", "spill_share", TYPE_NUMBER, FIELD(spill_share), true, 0.65, 0,
     10,
     "share of a route's target latency up to which calls stay in the "
     "data centre"},
    {"rollout", "expose_share", TYPE_NUMBER, FIELD(expose_share), true, 0, 0,
     0.5,
     "largest share of a service's calls for a bad version; 0: no roll-outs"},
    {"rollout", "expose_extra", TYPE_NUMBER, FIELD(expose_extra), true, 0, 0,
     1e6, "calls for a bad version besides"},
    {"rollout", "rollback_s", TYPE_NUMBER, FIELD(rollback_s), true, 5, 0.5,
     600, "seconds within which a bad version gets no more calls"},
    {"pace", "enabled", TYPE_FLAG, FIELD(is_pace_enabled), true, 0, 0, 0,
     "slow start: a target that has started or recovered gets few calls at "
     "first"},
    {"target_load", "enabled", TYPE_FLAG, FIELD(is_target_load_enabled), true,
     0, 0, 0,
     "predictions use the load of targets that report the speed of "
     "their hardware"},
    {"hedge", "enabled", TYPE_FLAG, FIELD(is_hedge_enabled), true, 0, 0, 0,
     "late idempotent calls get a second attempt at another node"},
};

static const setting_t *
find_setting(const char *section, const char *key)
{
    for (size_t i = 0; i < G_N_ELEMENTS(settings_table); i++) {
        const setting_t *setting = &settings_table[i];
        if (strcmp(setting->section, section) == 0 &&
            strcmp(setting->key, key) == 0) {
            return setting;
        }
    }
    return NULL;
}

static bool
is_address(const char *text)
{
    return g_regex_match_simple("^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$",
                                text, 0, 0);
}

static bool
is_text_setting(const setting_t *setting)
{
    return setting->type == TYPE_TEXT || setting->type == TYPE_ADDRESS;
}

static void
add_finding(bb_findings_t *findings, const char *path, const bb_toml_t *toml,
            const setting_t *setting, const char *message)
{
    char *name = g_strconcat(setting->section, ".", setting->key, NULL);

    BbFindings_Add(findings, path, setting->section, setting->key,
                   BbToml_Line(toml, name), "%s", message);
    g_free(name);
}

static void
store_text(const setting_t *setting, const json_t *value, const char *path,
           const bb_toml_t *toml, bb_findings_t *findings, char **out)
{
    const char *text = json_string_value(value);

    if (text == NULL || text[0] == '\0') {
        add_finding(findings, path, toml, setting,
                    "must be a non-empty string");
    }
    else if (setting->type == TYPE_ADDRESS && !is_address(text)) {
        add_finding(findings, path, toml, setting,
                    "must be an IPv4 address and port, \"IP:PORT\"");
    }
    else {
        *out = g_strdup(text);
    }
}

static void
read_setting(const setting_t *setting, const json_t *value, const char *path,
             const bb_toml_t *toml, bb_findings_t *findings,
             bb_sidecar_settings_t *out)
{
    char *field = (char *)out + setting->offset;

    if (value == NULL) {
        if (!setting->is_optional) {
            add_finding(findings, path, toml, setting, "is missing");
        }
        if (setting->type == TYPE_NUMBER) {
            *(double *)(void *)field = setting->default_number;
        }
        return;
    }
    if (setting->type == TYPE_FLAG) {
        *(bool *)(void *)field = json_is_true(value);
        if (!json_is_boolean(value)) {
            add_finding(findings, path, toml, setting,
                        "must be true or false");
        }
        return;
    }
    if (is_text_setting(setting)) {
        store_text(setting, value, path, toml, findings,
                   (char **)(void *)field);
        return;
    }
    double number = json_number_value(value);
    *(double *)(void *)field = number;
    if (!json_is_number(value) || number < setting->min ||
        number > setting->max) {
        add_finding(
            findings, path, toml, setting,
            "must be a number in the range that --print-settings lists");
    }
}

static void
report_unknown_keys(json_t *root, const char *path, const bb_toml_t *toml,
                    bb_findings_t *findings)
{
    const char *section, *key;
    json_t *table, *value;

    json_object_foreach (root, section, table) {
        json_object_foreach (table, key, value) {
            if (find_setting(section, key) == NULL) {
                char *name = g_strconcat(section, ".", key, NULL);
                BbFindings_Add(findings, path, section, key,
                               BbToml_Line(toml, name), "unknown key");
                g_free(name);
            }
        }
    }
}

int
BbSidecarSettings_Load(const char *path, bb_findings_t *findings,
                       bb_sidecar_settings_t *out)
{
    bb_toml_t *toml = BbToml_Load(path, findings);

    memset(out, 0, sizeof(*out));
    if (toml == NULL) {
        return BB_ERR_INVALID;
    }
    json_t *root = BbToml_Root(toml);
    size_t initial_findings = findings->count;
    for (size_t i = 0; i < G_N_ELEMENTS(settings_table); i++) {
        const setting_t *setting = &settings_table[i];
        json_t *table = json_object_get(root, setting->section);
        read_setting(setting, json_object_get(table, setting->key), path, toml,
                     findings, out);
    }
    report_unknown_keys(root, path, toml, findings);
    BbToml_Free(toml);
    if (findings->count != initial_findings) {
        BbSidecarSettings_Free(out);
        return BB_ERR_INVALID;
    }
    return 0;
}

void
BbSidecarSettings_Free(bb_sidecar_settings_t *settings)
{
    for (size_t i = 0; i < G_N_ELEMENTS(settings_table); i++) {
        if (is_text_setting(&settings_table[i])) {
            char *field = (char *)settings + settings_table[i].offset;
            g_clear_pointer((char **)(void *)field, g_free);
        }
    }
}

void
BbSidecarSettings_PrintReference(FILE *out)
{
    static const char *const types[] = {"text", "address", "number", "flag"};

    fputs("# Settings of bbsidecar\n\nPrinted by `bbsidecar "
          "--print-settings`.\n\n| key | type | default | range | meaning |\n"
          "| --- | --- | --- | --- | --- |\n",
          out);
    for (size_t i = 0; i < G_N_ELEMENTS(settings_table); i++) {
        const setting_t *setting = &settings_table[i];
        fprintf(out, "| `%s.%s` | %s | ", setting->section, setting->key,
                types[setting->type]);
        if (setting->type == TYPE_NUMBER) {
            fprintf(out, "%g | %g to %g", setting->default_number,
                    setting->min, setting->max);
        }
        else if (setting->type == TYPE_FLAG) {
            fputs("false | ", out);
        }
        else {
            fprintf(out, "%s | ", setting->is_optional ? "none" : "required");
        }
        fprintf(out, " | %s |\n", setting->help);
    }
}
