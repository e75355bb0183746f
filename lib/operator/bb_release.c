#include "bb_release.h"

#include <sodium.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "bb_error.h"

/* The keys of versions/ rows have 12 digits. */
#define MAX_VERSION 999999999999

/* ---- fields ---- */

static bool
is_hex(const char *text, size_t length)
{
    return strspn(text, "0123456789abcdef") == length && text[length] == '\0';
}

static bool
is_month(const char *text)
{
    if (strlen(text) != BB_MONTH_LENGTH || text[4] != '-' ||
        strspn(text, "0123456789") != 4 ||
        strspn(text + 5, "0123456789") != 2) {
        return false;
    }
    int month = (text[5] - '0') * 10 + text[6] - '0';
    return month >= 1 && month <= 12;
}

/* Copies a field of exactly length hex digits, or an empty one when
 * may_be_empty is set. Returns false for any other value. */
static bool
copy_hex(json_t *object, const char *field, size_t length, bool may_be_empty,
         char *out)
{
    const char *text = json_string_value(json_object_get(object, field));

    if (text == NULL) {
        return false;
    }
    if (!is_hex(text, length) && !(may_be_empty && text[0] == '\0')) {
        return false;
    }
    strcpy(out, text);
    return true;
}

static bool
copy_owner_and_month(json_t *object, bb_release_t *out)
{
    const char *owner = json_string_value(json_object_get(object, "owner"));
    const char *month = json_string_value(json_object_get(object, "month"));

    if (owner == NULL || month == NULL || owner[0] == '\0' ||
        strlen(owner) > BB_MAX_NAME_LENGTH || !is_month(month)) {
        return false;
    }
    strcpy(out->owner, owner);
    strcpy(out->month, month);
    return true;
}

int
BbRelease_FromJson(json_t *object, bb_release_t *out)
{
    json_t *version = json_object_get(object, "version");
    json_t *size = json_object_get(object, "size");

    memset(out, 0, sizeof(*out));
    out->version = json_integer_value(version);
    out->size = json_integer_value(size);
    bool is_valid =
        json_is_integer(version) && json_is_integer(size) &&
        out->version >= 1 && out->version <= MAX_VERSION && out->size >= 0 &&
        copy_hex(object, "digest", BB_DIGEST_HEX_LENGTH, false, out->digest) &&
        copy_hex(object, "previous_digest", BB_DIGEST_HEX_LENGTH, true,
                 out->previous_digest) &&
        copy_hex(object, "write_id", BB_WRITE_ID_HEX_LENGTH, false,
                 out->write_id) &&
        copy_hex(object, "signature", BB_SIGNATURE_HEX_LENGTH, false,
                 out->signature) &&
        copy_owner_and_month(object, out);
    return is_valid ? 0 : BB_ERR_PARSE;
}

static json_t *
pack_signed_fields(const bb_release_t *release)
{
    return json_pack("{s:I,s:I,s:s,s:s,s:s,s:s}", "version",
                     (json_int_t)release->version, "size",
                     (json_int_t)release->size, "digest", release->digest,
                     "previous_digest", release->previous_digest, "owner",
                     release->owner, "month", release->month);
}

json_t *
BbRelease_ToJson(const bb_release_t *release)
{
    json_t *object = pack_signed_fields(release);

    json_object_set_new(object, "write_id", json_string(release->write_id));
    json_object_set_new(object, "signature", json_string(release->signature));
    return object;
}

/* ---- signature ---- */

/* Returns the text that the signature covers, or NULL when a text field is not
 * valid UTF-8. Free it with free(). */
static char *
encode_signed_fields(const bb_release_t *release)
{
    json_t *fields = pack_signed_fields(release);
    char *text = json_dumps(fields, JSON_COMPACT | JSON_SORT_KEYS);

    json_decref(fields);
    return text;
}

int
BbRelease_Sign(bb_release_t *release, const unsigned char *secret_key)
{
    unsigned char signature[crypto_sign_BYTES];
    char *text = encode_signed_fields(release);

    if (text == NULL) {
        return BB_ERR_ARGUMENT;
    }
    crypto_sign_detached(signature, NULL, (const unsigned char *)text,
                         strlen(text), secret_key);
    sodium_bin2hex(release->signature, sizeof(release->signature), signature,
                   sizeof(signature));
    free(text);
    return 0;
}

int
BbRelease_Verify(const bb_release_t *release, const bb_trusted_owner_t *owners,
                 size_t owner_count)
{
    unsigned char signature[crypto_sign_BYTES];
    size_t size = 0;
    int error = BB_ERR_SIGNATURE;

    if (sodium_hex2bin(signature, sizeof(signature), release->signature,
                       strlen(release->signature), NULL, &size, NULL) != 0 ||
        size != sizeof(signature)) {
        return BB_ERR_SIGNATURE;
    }
    char *text = encode_signed_fields(release);
    if (text == NULL) {
        return BB_ERR_SIGNATURE;
    }
    /* An owner is listed twice, with the old and the new key, while the key is
     * being replaced. */
    for (size_t i = 0; i < owner_count && error != 0; i++) {
        if (strcmp(owners[i].name, release->owner) == 0 &&
            crypto_sign_verify_detached(signature, (const unsigned char *)text,
                                        strlen(text), owners[i].key) == 0) {
            error = 0;
        }
    }
    free(text);
    return error;
}
