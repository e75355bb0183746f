#include "bb_wire.h"

#include <arpa/inet.h>
#include <glib.h>
#include <msgpack.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "bb_counters.h"
#include "bb_error.h"

#define ADDRESS_BYTES 6 /* IPv4 address and port in network order */
#define CHECKSUM_BYTES 8
#define MAX_SLOTS 1000000
#define MAX_DELAY_MS 600000
#define MAX_VERSION (INT64_C(1) << 53)

/* Keys of the msgpack map. The values are part of the wire protocol. */
enum {
    KEY_CLUSTER,
    KEY_TYPE,
    KEY_SENDER,
    KEY_DATA_CENTRE,
    KEY_MEMBER,
    KEY_FLAGS,
    KEY_ADDRESSES,
    KEY_GATEWAYS,
    KEY_DELAY,
    KEY_VERSION,
    KEY_CONFIG_DIGEST,
    KEY_MEMBER_DIGEST,
    KEY_BUCKETS,
    KEY_MEMBERS,
    KEY_RELEASE,
    KEY_CONTENT,
    KEY_ORIGIN,
    KEY_SEQUENCE,
    KEY_SUMMARY_DIGEST,
    KEY_SUMMARIES,
    KEY_COUNT,
    KEY_CHECKSUM = KEY_COUNT,
};

#define BIT(key) (1u << (key))
#define MASK_HEADER (BIT(KEY_CLUSTER) | BIT(KEY_TYPE) | BIT(KEY_SENDER))
#define MASK_VERSION (BIT(KEY_VERSION) | BIT(KEY_CONFIG_DIGEST))

typedef struct {
    const char *name;
    unsigned int fields; /* mask of keys: all required, no others accepted */
} type_info_t;

static const type_info_t types[BB_WIRE_TYPE_COUNT] = {
    [BB_WIRE_HELLO] = {"hello", BIT(KEY_DATA_CENTRE) | BIT(KEY_MEMBER) |
                                    BIT(KEY_FLAGS)},
    [BB_WIRE_WELCOME] = {"welcome", BIT(KEY_DATA_CENTRE) | BIT(KEY_MEMBER) |
                                        BIT(KEY_ADDRESSES) |
                                        BIT(KEY_GATEWAYS)},
    [BB_WIRE_LATER] = {"later", BIT(KEY_DELAY) | BIT(KEY_ADDRESSES)},
    [BB_WIRE_HEARTBEAT] = {"heartbeat", MASK_VERSION | BIT(KEY_MEMBER_DIGEST)},
    [BB_WIRE_UPDATE] = {"update", BIT(KEY_DATA_CENTRE) | BIT(KEY_MEMBERS)},
    [BB_WIRE_EXCHANGE] = {"exchange", BIT(KEY_FLAGS) | BIT(KEY_BUCKETS)},
    [BB_WIRE_ADVERTISE] = {"advertise", MASK_VERSION},
    [BB_WIRE_PULL] = {"pull", MASK_VERSION},
    [BB_WIRE_DELTA] = {"delta", BIT(KEY_RELEASE) | BIT(KEY_CONTENT)},
    [BB_WIRE_CONTENT] = {"content", BIT(KEY_RELEASE) | BIT(KEY_CONTENT)},
    [BB_WIRE_SUMMARY] = {"summary", BIT(KEY_DATA_CENTRE) | BIT(KEY_FLAGS) |
                                        BIT(KEY_ORIGIN) | BIT(KEY_SEQUENCE) |
                                        BIT(KEY_SUMMARY_DIGEST) |
                                        BIT(KEY_SUMMARIES)},
    [BB_WIRE_SUMMARY_PULL] = {"summary-pull", BIT(KEY_DATA_CENTRE)},
};

const char *
BbWire_TypeName(bb_wire_type_t type)
{
    if (type <= 0 || type >= BB_WIRE_TYPE_COUNT) {
        return "unknown";
    }
    return types[type].name;
}

/* ---- values of basic types ---- */

static void
put_text(msgpack_packer *packer, const char *text)
{
    msgpack_pack_str_with_body(packer, text, strlen(text));
}

static void
put_bytes(msgpack_packer *packer, const void *bytes, size_t size)
{
    msgpack_pack_bin_with_body(packer, bytes, size);
}

static bool
is_name_char(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

/* Copies a name of characters [a-z0-9-]; fails on any other text. */
static bool
get_name(const msgpack_object *object, char *out, size_t out_size,
         bool may_be_empty)
{
    if (object->type != MSGPACK_OBJECT_STR ||
        object->via.str.size >= out_size ||
        (object->via.str.size == 0 && !may_be_empty)) {
        return false;
    }
    for (uint32_t i = 0; i < object->via.str.size; i++) {
        if (!is_name_char(object->via.str.ptr[i])) {
            return false;
        }
    }
    memcpy(out, object->via.str.ptr, object->via.str.size);
    out[object->via.str.size] = '\0';
    return true;
}

static bool
get_u64(const msgpack_object *object, uint64_t *out)
{
    *out = object->via.u64;
    return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool
get_int64(const msgpack_object *object, int64_t low, int64_t high,
          int64_t *out)
{
    uint64_t value;
    if (!get_u64(object, &value) || value > (uint64_t)high) {
        return false;
    }
    *out = (int64_t)value;
    return *out >= low;
}

static bool
get_int(const msgpack_object *object, int low, int high, int *out)
{
    int64_t value;
    if (!get_int64(object, low, high, &value)) {
        return false;
    }
    *out = (int)value;
    return true;
}

/* An empty or malformed address becomes six zero bytes. */
static void
address_to_bytes(const char *text, unsigned char out[ADDRESS_BYTES])
{
    char host[BB_ADDRESS_TEXT + 1];
    memset(out, 0, ADDRESS_BYTES);
    g_strlcpy(host, text, sizeof(host));
    char *colon = strchr(host, ':');
    if (colon == NULL) {
        return;
    }
    *colon = '\0';
    if (inet_pton(AF_INET, host, out) == 1) {
        uint16_t port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, 10));
        memcpy(out + 4, &port, sizeof(port));
    }
}

/* Gives an empty text when the port is 0. */
static void
bytes_to_address(const unsigned char *bytes, char out[BB_ADDRESS_TEXT + 1])
{
    int port = bytes[4] << 8 | bytes[5];
    out[0] = '\0';
    if (port != 0) {
        snprintf(out, BB_ADDRESS_TEXT + 1, "%d.%d.%d.%d:%d", bytes[0],
                 bytes[1], bytes[2], bytes[3], port);
    }
}

static void
put_address_list(msgpack_packer *packer,
                 const char (*items)[BB_ADDRESS_TEXT + 1], size_t count)
{
    unsigned char bytes[BB_WIRE_MAX_ADDRESSES * ADDRESS_BYTES];
    count = MIN(count, BB_WIRE_MAX_ADDRESSES);
    for (size_t i = 0; i < count; i++) {
        address_to_bytes(items[i], bytes + i * ADDRESS_BYTES);
    }
    put_bytes(packer, bytes, count * ADDRESS_BYTES);
}

static bool
get_address_list(const msgpack_object *object,
                 char (*items)[BB_ADDRESS_TEXT + 1], size_t max, size_t *count)
{
    if (object->type != MSGPACK_OBJECT_BIN ||
        object->via.bin.size % ADDRESS_BYTES != 0 ||
        object->via.bin.size / ADDRESS_BYTES > max) {
        return false;
    }
    *count = object->via.bin.size / ADDRESS_BYTES;
    for (size_t i = 0; i < *count; i++) {
        bytes_to_address((const unsigned char *)object->via.bin.ptr +
                             i * ADDRESS_BYTES,
                         items[i]);
        if (items[i][0] == '\0') {
            return false;
        }
    }
    return true;
}

static void
put_address(msgpack_packer *packer, const char *text)
{
    unsigned char bytes[ADDRESS_BYTES];
    address_to_bytes(text, bytes);
    put_bytes(packer, bytes, sizeof(bytes));
}

static bool
get_address(const msgpack_object *object, char out[BB_ADDRESS_TEXT + 1])
{
    if (object->type != MSGPACK_OBJECT_BIN ||
        object->via.bin.size != ADDRESS_BYTES) {
        return false;
    }
    bytes_to_address((const unsigned char *)object->via.bin.ptr, out);
    return true;
}

/* Packs hex text as bytes. Text that is not hex of this length is packed as no
 * bytes. */
static void
put_hex(msgpack_packer *packer, const char *hex, size_t hex_size)
{
    unsigned char bytes[BB_SIGNATURE_HEX_LENGTH / 2];
    size_t size = 0;
    if (strlen(hex) != hex_size ||
        sodium_hex2bin(bytes, sizeof(bytes), hex, hex_size, NULL, &size,
                       NULL) != 0 ||
        size != hex_size / 2) {
        size = 0;
    }
    put_bytes(packer, bytes, size);
}

static bool
get_hex(const msgpack_object *object, char *out, size_t hex_size)
{
    if (object->type != MSGPACK_OBJECT_BIN ||
        (object->via.bin.size != 0 && object->via.bin.size != hex_size / 2)) {
        return false;
    }
    sodium_bin2hex(out, hex_size + 1,
                   (const unsigned char *)object->via.bin.ptr,
                   object->via.bin.size);
    return true;
}

static bool
is_array(const msgpack_object *object, size_t low, size_t high)
{
    return object->type == MSGPACK_OBJECT_ARRAY &&
           object->via.array.size >= low && object->via.array.size <= high;
}

/* ---- member records and summaries ---- */

#define MEMBER_RECORD_ITEMS 8

static void
put_member_record(msgpack_packer *packer, const bb_member_t *member)
{
    msgpack_pack_array(packer, MEMBER_RECORD_ITEMS);
    msgpack_pack_uint64(packer, member->node_id);
    msgpack_pack_int64(packer, member->incarnation);
    msgpack_pack_int(packer, member->state);
    msgpack_pack_int(packer, member->target_state);
    msgpack_pack_int(packer, member->slots);
    put_text(packer, member->service);
    put_address(packer, member->caller_address);
    put_address(packer, member->peer_address);
}

static bool
get_member_record(const msgpack_object *object, bb_member_t *out)
{
    int state;
    int target_state;
    memset(out, 0, sizeof(*out));
    if (!is_array(object, MEMBER_RECORD_ITEMS, MEMBER_RECORD_ITEMS)) {
        return false;
    }
    const msgpack_object *items = object->via.array.ptr;
    if (!get_u64(&items[0], &out->node_id) ||
        !get_int64(&items[1], 1, BB_MAX_INCARNATION, &out->incarnation) ||
        !get_int(&items[2], BB_MEMBER_ALIVE, BB_MEMBER_LEFT, &state) ||
        !get_int(&items[3], BB_TARGET_ABSENT, BB_TARGET_DRAINING,
                 &target_state) ||
        !get_int(&items[4], 0, MAX_SLOTS, &out->slots) ||
        !get_name(&items[5], out->service, sizeof(out->service), true) ||
        !get_address(&items[6], out->caller_address) ||
        !get_address(&items[7], out->peer_address)) {
        return false;
    }
    out->state = (bb_member_state_t)state;
    out->target_state = (bb_target_state_t)target_state;
    return out->node_id != 0 && out->peer_address[0] != '\0';
}

static void
put_summary(msgpack_packer *packer, const bb_summary_t *summary)
{
    msgpack_pack_array(packer, 3);
    put_text(packer, summary->service);
    msgpack_pack_int(packer, summary->live);
    put_address_list(packer, summary->addresses, summary->address_count);
}

static bool
get_summary(const msgpack_object *object, bb_summary_t *out)
{
    if (!is_array(object, 3, 3)) {
        return false;
    }
    const msgpack_object *items = object->via.array.ptr;
    return get_name(&items[0], out->service, sizeof(out->service), false) &&
           get_int(&items[1], 0, BB_MAX_MEMBERS, &out->live) &&
           get_address_list(&items[2], out->addresses, BB_SUMMARY_ADDRESSES,
                            &out->address_count);
}

/* ---- one function pair for each key of the map ---- */

typedef const bb_wire_message_t const_message_t;

static void
put_type(msgpack_packer *packer, const_message_t *message)
{
    msgpack_pack_int(packer, message->type);
}

static bool
get_type(const msgpack_object *object, bb_wire_message_t *out)
{
    int type;
    if (!get_int(object, 1, BB_WIRE_TYPE_COUNT - 1, &type)) {
        return false;
    }
    out->type = (bb_wire_type_t)type;
    return true;
}

static void
put_sender(msgpack_packer *packer, const_message_t *message)
{
    msgpack_pack_uint64(packer, message->sender);
}

static bool
get_sender(const msgpack_object *object, bb_wire_message_t *out)
{
    return get_u64(object, &out->sender) && out->sender != 0;
}

static void
put_data_centre(msgpack_packer *packer, const_message_t *message)
{
    put_text(packer, message->data_centre);
}

static bool
get_data_centre(const msgpack_object *object, bb_wire_message_t *out)
{
    return get_name(object, out->data_centre, sizeof(out->data_centre), false);
}

static void
put_member(msgpack_packer *packer, const_message_t *message)
{
    put_member_record(packer, &message->member);
}

static bool
get_member(const msgpack_object *object, bb_wire_message_t *out)
{
    return get_member_record(object, &out->member);
}

enum { FLAG_JOIN = 1, FLAG_REPLY = 2, FLAG_FULL = 4, FLAG_ALL = 7 };

static void
put_flags(msgpack_packer *packer, const_message_t *message)
{
    msgpack_pack_int(packer, (message->is_join ? FLAG_JOIN : 0) |
                                 (message->is_reply ? FLAG_REPLY : 0) |
                                 (message->is_full ? FLAG_FULL : 0));
}

static bool
get_flags(const msgpack_object *object, bb_wire_message_t *out)
{
    int flags;
    if (!get_int(object, 0, FLAG_ALL, &flags)) {
        return false;
    }
    out->is_join = (flags & FLAG_JOIN) != 0;
    out->is_reply = (flags & FLAG_REPLY) != 0;
    out->is_full = (flags & FLAG_FULL) != 0;
    return true;
}

static void
put_addresses(msgpack_packer *packer, const_message_t *message)
{
    put_address_list(packer, message->addresses.items,
                     message->addresses.count);
}

static bool
get_addresses(const msgpack_object *object, bb_wire_message_t *out)
{
    return get_address_list(object, out->addresses.items,
                            BB_WIRE_MAX_ADDRESSES, &out->addresses.count);
}

static void
put_gateways(msgpack_packer *packer, const_message_t *message)
{
    put_address_list(packer, message->gateways.items, message->gateways.count);
}

static bool
get_gateways(const msgpack_object *object, bb_wire_message_t *out)
{
    return get_address_list(object, out->gateways.items, BB_WIRE_MAX_ADDRESSES,
                            &out->gateways.count);
}

static void
put_delay(msgpack_packer *packer, const_message_t *message)
{
    msgpack_pack_int64(packer, message->delay_ms);
}

static bool
get_delay(const msgpack_object *object, bb_wire_message_t *out)
{
    return get_int64(object, 0, MAX_DELAY_MS, &out->delay_ms);
}

static void
put_version(msgpack_packer *packer, const_message_t *message)
{
    msgpack_pack_int64(packer, message->version);
}

static bool
get_version(const msgpack_object *object, bb_wire_message_t *out)
{
    return get_int64(object, 0, MAX_VERSION, &out->version);
}

static void
put_config_digest(msgpack_packer *packer, const_message_t *message)
{
    msgpack_pack_uint64(packer, message->config_digest);
}

static bool
get_config_digest(const msgpack_object *object, bb_wire_message_t *out)
{
    return get_u64(object, &out->config_digest);
}

static void
put_member_digest(msgpack_packer *packer, const_message_t *message)
{
    msgpack_pack_uint64(packer, message->member_digest);
}

static bool
get_member_digest(const msgpack_object *object, bb_wire_message_t *out)
{
    return get_u64(object, &out->member_digest);
}

static void
put_buckets(msgpack_packer *packer, const_message_t *message)
{
    uint64_t bytes[BB_MEMBER_BUCKETS];
    for (size_t i = 0; i < BB_MEMBER_BUCKETS; i++) {
        bytes[i] = GUINT64_TO_BE(message->buckets[i]);
    }
    put_bytes(packer, bytes, sizeof(bytes));
}

static bool
get_buckets(const msgpack_object *object, bb_wire_message_t *out)
{
    if (object->type != MSGPACK_OBJECT_BIN ||
        object->via.bin.size != sizeof(out->buckets)) {
        return false;
    }
    memcpy(out->buckets, object->via.bin.ptr, sizeof(out->buckets));
    for (size_t i = 0; i < BB_MEMBER_BUCKETS; i++) {
        out->buckets[i] = GUINT64_FROM_BE(out->buckets[i]);
    }
    return true;
}

static void
put_members(msgpack_packer *packer, const_message_t *message)
{
    msgpack_pack_array(packer, message->member_count);
    for (size_t i = 0; i < message->member_count; i++) {
        put_member_record(packer, &message->members[i]);
    }
}

static bool
get_members(const msgpack_object *object, bb_wire_message_t *out)
{
    if (!is_array(object, 1, BB_WIRE_MAX_MEMBERS)) {
        return false;
    }
    out->member_count = object->via.array.size;
    out->members = g_new0(bb_member_t, out->member_count);
    for (size_t i = 0; i < out->member_count; i++) {
        if (!get_member_record(&object->via.array.ptr[i], &out->members[i])) {
            return false;
        }
    }
    return true;
}

#define RELEASE_ITEMS 8

static void
put_release(msgpack_packer *packer, const_message_t *message)
{
    const bb_release_t *release = &message->release;
    msgpack_pack_array(packer, RELEASE_ITEMS);
    msgpack_pack_int64(packer, release->version);
    msgpack_pack_int64(packer, release->size);
    put_hex(packer, release->digest, BB_DIGEST_HEX_LENGTH);
    put_hex(packer, release->previous_digest, BB_DIGEST_HEX_LENGTH);
    put_text(packer, release->owner);
    put_text(packer, release->month);
    put_hex(packer, release->write_id, BB_WRITE_ID_HEX_LENGTH);
    put_hex(packer, release->signature, BB_SIGNATURE_HEX_LENGTH);
}

static bool
get_release(const msgpack_object *object, bb_wire_message_t *out)
{
    bb_release_t *release = &out->release;
    if (!is_array(object, RELEASE_ITEMS, RELEASE_ITEMS)) {
        return false;
    }
    const msgpack_object *items = object->via.array.ptr;
    return get_int64(&items[0], 1, MAX_VERSION, &release->version) &&
           get_int64(&items[1], 0, BB_MAX_DOCUMENT_BYTES, &release->size) &&
           get_hex(&items[2], release->digest, BB_DIGEST_HEX_LENGTH) &&
           get_hex(&items[3], release->previous_digest,
                   BB_DIGEST_HEX_LENGTH) &&
           get_name(&items[4], release->owner, sizeof(release->owner),
                    false) &&
           get_name(&items[5], release->month, sizeof(release->month),
                    false) &&
           get_hex(&items[6], release->write_id, BB_WRITE_ID_HEX_LENGTH) &&
           get_hex(&items[7], release->signature, BB_SIGNATURE_HEX_LENGTH);
}

static void
put_content(msgpack_packer *packer, const_message_t *message)
{
    put_bytes(packer, message->text, message->text_size);
}

static bool
get_content(const msgpack_object *object, bb_wire_message_t *out)
{
    if (object->type != MSGPACK_OBJECT_BIN ||
        object->via.bin.size > BB_MAX_DOCUMENT_BYTES) {
        return false;
    }
    out->text = object->via.bin.ptr;
    out->text_size = object->via.bin.size;
    return true;
}

static void
put_origin(msgpack_packer *packer, const_message_t *message)
{
    msgpack_pack_uint64(packer, message->origin);
}

static bool
get_origin(const msgpack_object *object, bb_wire_message_t *out)
{
    return get_u64(object, &out->origin) && out->origin != 0;
}

static void
put_sequence(msgpack_packer *packer, const_message_t *message)
{
    msgpack_pack_int64(packer, message->sequence);
}

static bool
get_sequence(const msgpack_object *object, bb_wire_message_t *out)
{
    return get_int64(object, 1, MAX_VERSION, &out->sequence);
}

static void
put_summary_digest(msgpack_packer *packer, const_message_t *message)
{
    msgpack_pack_uint64(packer, message->summary_digest);
}

static bool
get_summary_digest(const msgpack_object *object, bb_wire_message_t *out)
{
    return get_u64(object, &out->summary_digest);
}

static void
put_summaries(msgpack_packer *packer, const_message_t *message)
{
    msgpack_pack_array(packer, message->summary_count);
    for (size_t i = 0; i < message->summary_count; i++) {
        put_summary(packer, &message->summaries[i]);
    }
}

static bool
get_summaries(const msgpack_object *object, bb_wire_message_t *out)
{
    if (!is_array(object, 0, BB_WIRE_MAX_SUMMARIES)) {
        return false;
    }
    out->summary_count = object->via.array.size;
    out->summaries = g_new0(bb_summary_t, out->summary_count);
    for (size_t i = 0; i < out->summary_count; i++) {
        if (!get_summary(&object->via.array.ptr[i], &out->summaries[i])) {
            return false;
        }
    }
    return true;
}

typedef struct {
    void (*put)(msgpack_packer *packer, const_message_t *message);
    bool (*get)(const msgpack_object *object, bb_wire_message_t *out);
} field_t;

/* Has no entry for KEY_CLUSTER, which decode_header() checks. */
static const field_t fields[KEY_COUNT] = {
    [KEY_TYPE] = {put_type, get_type},
    [KEY_SENDER] = {put_sender, get_sender},
    [KEY_DATA_CENTRE] = {put_data_centre, get_data_centre},
    [KEY_MEMBER] = {put_member, get_member},
    [KEY_FLAGS] = {put_flags, get_flags},
    [KEY_ADDRESSES] = {put_addresses, get_addresses},
    [KEY_GATEWAYS] = {put_gateways, get_gateways},
    [KEY_DELAY] = {put_delay, get_delay},
    [KEY_VERSION] = {put_version, get_version},
    [KEY_CONFIG_DIGEST] = {put_config_digest, get_config_digest},
    [KEY_MEMBER_DIGEST] = {put_member_digest, get_member_digest},
    [KEY_BUCKETS] = {put_buckets, get_buckets},
    [KEY_MEMBERS] = {put_members, get_members},
    [KEY_RELEASE] = {put_release, get_release},
    [KEY_CONTENT] = {put_content, get_content},
    [KEY_ORIGIN] = {put_origin, get_origin},
    [KEY_SEQUENCE] = {put_sequence, get_sequence},
    [KEY_SUMMARY_DIGEST] = {put_summary_digest, get_summary_digest},
    [KEY_SUMMARIES] = {put_summaries, get_summaries},
};

/* ---- frames ---- */

unsigned char *
BbWire_Encode(const char *cluster, const bb_wire_message_t *message,
              size_t *size)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    unsigned int mask = MASK_HEADER | types[message->type].fields;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_map(&packer, (size_t)__builtin_popcount(mask) + 1);
    msgpack_pack_int(&packer, KEY_CLUSTER);
    put_text(&packer, cluster);
    for (int key = KEY_TYPE; key < KEY_COUNT; key++) {
        if (mask & BIT(key)) {
            msgpack_pack_int(&packer, key);
            fields[key].put(&packer, message);
        }
    }
    msgpack_pack_int(&packer, KEY_CHECKSUM);
    msgpack_pack_fix_uint64(&packer, 0);
    *size = buffer.size;
    unsigned char *frame = g_memdup2(buffer.data, buffer.size);
    msgpack_sbuffer_destroy(&buffer);
    uint64_t check = GUINT64_TO_BE(XXH64(frame, *size - CHECKSUM_BYTES, 0));
    memcpy(frame + *size - CHECKSUM_BYTES, &check, CHECKSUM_BYTES);
    return frame;
}

static bool
is_checksum_valid(const unsigned char *frame, size_t size)
{
    uint64_t check;
    if (size <= CHECKSUM_BYTES) {
        return false;
    }
    memcpy(&check, frame + size - CHECKSUM_BYTES, CHECKSUM_BYTES);
    return GUINT64_FROM_BE(check) == XXH64(frame, size - CHECKSUM_BYTES, 0);
}

static bool
is_key(const msgpack_object_kv *pair, int key)
{
    return pair->key.type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
           pair->key.via.u64 == (uint64_t)key;
}

/* Checks the cluster and reads the type, which are the first two pairs. */
static int
decode_header(const char *cluster, const msgpack_object *object,
              bb_wire_message_t *out)
{
    char name[BB_MAX_CLUSTER_TEXT + 1];
    if (object->type != MSGPACK_OBJECT_MAP || object->via.map.size < 3) {
        return BB_ERR_PARSE;
    }
    const msgpack_object_kv *pairs = object->via.map.ptr;
    if (!is_key(&pairs[0], KEY_CLUSTER) || !is_key(&pairs[1], KEY_TYPE) ||
        !get_name(&pairs[0].val, name, sizeof(name), false)) {
        return BB_ERR_PARSE;
    }
    if (strcmp(name, cluster) != 0) {
        BbCounters_Add(BB_COUNTER_PEER_FOREIGN, 1);
        return BB_ERR_INVALID;
    }
    if (!get_type(&pairs[1].val, out)) {
        BbCounters_Add(BB_COUNTER_PEER_UNKNOWN_TYPE, 1);
        return BB_ERR_INVALID;
    }
    return 0;
}

/* Reads the fields of the type in ascending key order, then the checksum. */
static int
decode_fields(const msgpack_object *object, bb_wire_message_t *out)
{
    unsigned int mask = MASK_HEADER | types[out->type].fields;
    const msgpack_object_kv *pair = object->via.map.ptr;
    if (object->via.map.size != (uint32_t)__builtin_popcount(mask) + 1) {
        return BB_ERR_PARSE;
    }
    for (int key = KEY_CLUSTER; key < KEY_COUNT; key++) {
        if (!(mask & BIT(key))) {
            continue;
        }
        if (!is_key(pair, key) ||
            (fields[key].get != NULL && !fields[key].get(&pair->val, out))) {
            return BB_ERR_PARSE;
        }
        pair++;
    }
    if (!is_key(pair, KEY_CHECKSUM)) {
        return BB_ERR_PARSE;
    }
    return 0;
}

/* Member records are sent without their data centre, which is the message's.
 */
static void
fill_data_centres(bb_wire_message_t *out)
{
    g_strlcpy(out->member.data_centre, out->data_centre,
              sizeof(out->member.data_centre));
    for (size_t i = 0; i < out->member_count; i++) {
        g_strlcpy(out->members[i].data_centre, out->data_centre,
                  sizeof(out->members[i].data_centre));
    }
}

static int
decode_map(const char *cluster, const unsigned char *frame, size_t size,
           bb_wire_message_t *out)
{
    msgpack_unpacked unpacked;
    size_t offset = 0;
    int result = BB_ERR_PARSE;
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, (const char *)frame, size, &offset) ==
            MSGPACK_UNPACK_SUCCESS &&
        offset == size) {
        result = decode_header(cluster, &unpacked.data, out);
        if (result == 0) {
            result = decode_fields(&unpacked.data, out);
        }
    }
    msgpack_unpacked_destroy(&unpacked);
    return result;
}

int
BbWire_Decode(const char *cluster, const unsigned char *frame, size_t size,
              bb_wire_message_t *out)
{
    int result = BB_ERR_PARSE;
    memset(out, 0, sizeof(*out));
    if (size > BB_MAX_FRAME_BYTES) {
        BbCounters_Add(BB_COUNTER_PEER_OVERSIZED, 1);
        return BB_ERR_LIMIT;
    }
    if (is_checksum_valid(frame, size)) {
        result = decode_map(cluster, frame, size, out);
    }
    if (result != 0) {
        BbCounters_Add(BB_COUNTER_PEER_CORRUPT, result == BB_ERR_PARSE);
        BbWire_Clear(out);
        return result;
    }
    fill_data_centres(out);
    return 0;
}

void
BbWire_Clear(bb_wire_message_t *message)
{
    g_free(message->members);
    g_free(message->summaries);
    message->members = NULL;
    message->summaries = NULL;
    message->member_count = 0;
    message->summary_count = 0;
}

uint64_t
BbWire_ShortDigest(const char *hex)
{
    char start[17];
    g_strlcpy(start, hex, sizeof(start));
    return g_ascii_strtoull(start, NULL, 16);
}
